package gateway

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"
)

// reloadInterval is the time between two checks of the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// WatchSettings applies changes of the settings file until ctx ends: at once
// after a SIGHUP, otherwise within reloadInterval.
func (g *Gateway) WatchSettings(ctx context.Context, file string, hangups <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	var last []byte // nil at first: the file may have changed since the settings were read
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signaled = true
		case <-ticker.C:
		}
		content, err := os.ReadFile(file)
		if err != nil {
			g.log.WithError(err).Warn("Failed to read the settings file, the previous settings stay in force.")
			continue
		}
		if !signaled && bytes.Equal(content, last) {
			continue
		}
		last = content
		g.reload(file, content)
	}
}

// reload applies new settings as far as that is possible without a restart.
func (g *Gateway) reload(file string, content []byte) {
	s, err := DecodeSettings(file, content)
	if err != nil {
		g.log.WithError(err).Error("Settings are invalid, the previous ones stay in force.")
		return
	}
	old := g.settings.Load()
	if s.Log.Level != "" {
		if level, err := logrus.ParseLevel(s.Log.Level); err == nil {
			g.logger.SetLevel(level)
		}
	}
	if s.Store != old.Store {
		g.adapters.Store.SetAddress(s.Store)
	}
	g.settings.Store(s)
	if reflect.DeepEqual(s, old) {
		g.log.Info("Settings unchanged.")
		return
	}
	restart := s.Name != old.Name || s.Region != old.Region || s.FailureDomain != old.FailureDomain || s.Listen != old.Listen || s.Pipelining != old.Pipelining || !reflect.DeepEqual(s.Duties, old.Duties) || s.EndpointPace != old.EndpointPace
	g.log.WithFields(logrus.Fields{"store": s.Store, "needs_restart": restart}).Info("Settings reloaded.")
}
