package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/settings"
)

const gatewaySettings = `{"vm":"g","role":"gateway","data_centre":"dc","control_address":"127.0.0.1:1","ops_address":"127.0.0.1:2",
"insecure_plaintext":true,"platform":{"url":"http://127.0.0.1:3"},
"gateway":{"callers_address":"127.0.0.1:4","memory_mb":256,"retry_ratio":0.2,"retry_extra":EXTRA,"retry_window_s":10,"grace_s":8}}`

// Guards against a SIGHUP that terminates the process and with it all streams,
// changed settings that are not applied, and an invalid file that takes effect.
func TestReload(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(extra string) { // atomically, so that no reload reads a partial file
		is.NoErr(os.WriteFile(path+".new", []byte(strings.Replace(gatewaySettings, "EXTRA", extra, 1)), 0o600))
		is.NoErr(os.Rename(path+".new", path))
	}
	write("100")
	var mu sync.Mutex
	var log bytes.Buffer
	applied := make(chan float64, 10)
	signals := make(chan os.Signal)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		ended <- watchSettings(ctx, signals, reloader{log: slog.New(slog.NewJSONHandler(&lockedWriter{&mu, &log}, nil)), path: path, role: settings.RoleGateway, lastData: settingsWithExtra(100),
			apply: func(s *settings.Settings) { applied <- s.Gateway.RetryExtra }})
	}()
	signals <- syscall.SIGHUP // nothing has changed
	write("50")
	signals <- syscall.SIGHUP
	is.Equal(<-applied, 50.0)
	write(`"many"`)
	signals <- syscall.SIGHUP
	logged := func() string {
		mu.Lock()
		defer mu.Unlock()
		return log.String()
	}
	// Waits until the refusal of the invalid file, which names the setting, is logged.
	for !strings.Contains(logged(), "gateway.retry_extra") {
		time.Sleep(time.Millisecond)
	}
	write("25") // without a signal
	select {
	case extra := <-applied:
		is.Equal(extra, 25.0)
	case <-time.After(3 * settingsPollInterval):
		t.Fatal("a change without a signal was not noticed")
	}
	cancel()
	is.NoErr(<-ended)
	is.Equal(len(applied), 0) // nothing else was applied
	is.True(strings.Contains(logged(), "settings refused"))
}

type lockedWriter struct {
	mu *sync.Mutex
	b  *bytes.Buffer
}

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

// Guards against a failure of SIGHUP in a role without settings that may change
// at run time, whose reloader has no apply function.
func TestSighupWithoutReload(t *testing.T) {
	is := is.New(t)
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGHUP
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.NoErr(watchSettings(ctx, signals, reloader{log: slog.New(slog.NewJSONHandler(&bytes.Buffer{}, nil))}))
}
