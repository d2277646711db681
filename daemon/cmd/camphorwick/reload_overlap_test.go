package main

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/settings"
)

func settingsWithExtra(extra int) []byte {
	return []byte(strings.Replace(gatewaySettings, "EXTRA", strconv.Itoa(extra), 1))
}

// Guards against a change that is never applied because the file was written again
// during the reload: the content that was parsed must be the one that was compared.
func TestReloadDuringWrites(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	applied := 0
	r := reloader{log: slog.New(slog.DiscardHandler), path: path, role: settings.RoleGateway, apply: func(s *settings.Settings) { applied = int(s.Gateway.RetryExtra) }}
	lost := 0
	for extra := 1; extra <= 500; extra++ {
		written := make(chan error, 1)
		go func() {
			for range 5 { // truncates the file first, so that a reload may read a part of it
				if err := os.WriteFile(path, settingsWithExtra(extra), 0o600); err != nil {
					written <- err
					return
				}
			}
			written <- nil
		}()
		for len(written) == 0 {
			r.reload()
		}
		is.NoErr(<-written)
		r.reload()
		if applied != extra {
			lost++
		}
	}
	is.Equal(lost, 0) // changes that were not applied although the file was complete
}

// Guards against a change that is never applied because the file was written
// between the start of the process and the first read of the watch.
func TestChangeBeforeWatch(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, settingsWithExtra(50), 0o600))
	applied := make(chan float64, 1)
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGHUP
	ctx, cancel := context.WithTimeout(t.Context(), settingsPollInterval/2)
	defer cancel()
	is.NoErr(watchSettings(ctx, signals, reloader{log: slog.New(slog.DiscardHandler), path: path, role: settings.RoleGateway,
		lastData: settingsWithExtra(100), apply: func(s *settings.Settings) { applied <- s.Gateway.RetryExtra }}))
	select {
	case extra := <-applied:
		is.Equal(extra, 50.0)
	case <-time.After(time.Second):
		t.Fatal("the change was not applied")
	}
}

// Guards against settings of another role that are applied: they have no settings
// of this one, and the process ended with a nil pointer.
func TestReloadOfAnotherRole(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	other := strings.Replace(string(settingsWithExtra(1)), `"role":"gateway"`, `"role":"agent","agent":{"service":{"name":"orders","url":"http://127.0.0.1:1"}}`, 1)
	is.NoErr(os.WriteFile(path, []byte(other), 0o600))
	var log strings.Builder
	r := reloader{log: slog.New(slog.NewJSONHandler(&log, nil)), path: path, role: settings.RoleGateway,
		apply: func(*settings.Settings) { t.Error("the settings of an agent were applied to a gateway") }}
	r.reload()
	is.True(strings.Contains(log.String(), "settings refused"))
}
