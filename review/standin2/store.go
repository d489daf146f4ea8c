package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, in its wire format.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store: the calls on rows, without faults.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[string]row // by table and key, tombstones included
	changed chan struct{}
}

func startStore(host string) (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), started: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.Paths.Rows, s.get)
	mux.HandleFunc("GET "+wire.Paths.Changes, s.feed)
	mux.HandleFunc("POST "+wire.Paths.Transaction, s.tx)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// set writes a row as the operator or an endpoint does.
func (s *store) set(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: b, Ver: s.ver})
}

// write stores a row and wakes the waiting calls. mu is held.
func (s *store) write(r row) {
	s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, ver uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": false, "ver": ver, "nowS": time.Since(s.started).Seconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && !x.Tombstone && x.Key >= q.Get("from") {
			rows = append(rows, x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.reply(w, http.StatusOK, rows, ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Ver > after {
				rows = append(rows, x)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			s.reply(w, http.StatusOK, rows, ver)
			return
		}
		select {
		case <-changed:
			continue
		case <-timeout:
		case <-r.Context().Done():
		}
		s.reply(w, http.StatusOK, nil, ver)
		return
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct{ Precondition, Writes, Remove []row }
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &t)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	key := func(x row) string { return x.Table + "\x00" + x.Part + "\x00" + x.Key }
	for _, c := range t.Precondition {
		known := s.rows[key(c)]
		if known.Tombstone {
			known.Ver = 0
		}
		if known.Ver != c.Ver {
			ver := s.ver
			s.mu.Unlock()
			s.reply(w, http.StatusPreconditionFailed, nil, ver)
			return
		}
	}
	s.ver++
	for _, x := range t.Writes {
		x.Ver = s.ver
		s.write(x)
	}
	for _, x := range t.Remove {
		if known, ok := s.rows[key(x)]; ok && !known.Tombstone {
			x.Value, x.Ver, x.Tombstone = nil, s.ver, true
			s.write(x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	s.reply(w, http.StatusOK, nil, ver)
}
