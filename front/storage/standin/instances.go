package standin

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
)

// instanceChange is one change to the list of instances.
type instanceChange struct {
	at      time.Time
	entry   storage.ListedInstance
	removed bool
}

// PutInstance adds an instance to the list or updates its entry, as of now.
func (s *Store) PutInstance(name string, leaving bool) {
	s.changeInstance(storage.ListedInstance{Name: name, Leaving: leaving}, false)
}

// RemoveInstance removes an instance from the list, as of now.
func (s *Store) RemoveInstance(name string) {
	s.changeInstance(storage.ListedInstance{Name: name}, true)
}

func (s *Store) changeInstance(entry storage.ListedInstance, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	entry.ObservedAt = now
	s.instanceChanges = append(s.instanceChanges, instanceChange{at: now, entry: entry, removed: removed})
}

// ListInstances implements storage.Instances. It returns the list as it was
// Faults.InstancesLag ago.
func (s *Store) ListInstances(ctx context.Context) ([]storage.ListedInstance, error) {
	if err := s.beginRead(ctx, "list instances"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := s.now().Add(-s.faults.InstancesLag)
	listed := make(map[string]storage.ListedInstance)
	for _, change := range s.instanceChanges {
		if change.at.After(asOf) {
			break
		}
		if change.removed {
			delete(listed, change.entry.Name)
			continue
		}
		listed[change.entry.Name] = change.entry
	}
	return sortedInstances(listed), nil
}

func sortedInstances(listed map[string]storage.ListedInstance) []storage.ListedInstance {
	list := make([]storage.ListedInstance, 0, len(listed))
	for _, entry := range listed {
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b storage.ListedInstance) int { return strings.Compare(a.Name, b.Name) })
	return list
}
