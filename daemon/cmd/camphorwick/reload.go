package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"

	"camphorwick.dev/settings"
)

// settingsPoll is how often the settings file is looked at, because it may
// change without a signal.
const settingsPoll = 2 * time.Second

// reloader reads the settings of a running process again. The zero value
// ignores SIGHUP, so that the signal does not end the process.
type reloader struct {
	log  *slog.Logger
	path string
	// apply puts the settings in force that may change at run time; nil if the
	// role has none.
	apply func(*settings.Settings)
	last  []byte
}

// watchSettings reloads on SIGHUP and when the file has changed, until ctx
// ends. A file with a fault is reported, and the last settings stay in force.
func watchSettings(ctx context.Context, signals <-chan os.Signal, r reloader) error {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	if r.apply != nil {
		r.last, _ = os.ReadFile(r.path) // was read a moment ago; a difference is found below
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			r.log.Info("reload asked for", "signal", "SIGHUP")
			r.reload()
		case <-ticker.C:
			r.reload()
		}
	}
}

// reload applies the file if it differs from the last one.
func (r *reloader) reload() {
	if r.apply == nil {
		return
	}
	data, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Error("settings not read, the last ones stay in force", "error", err.Error())
		return
	}
	if bytes.Equal(data, r.last) {
		return
	}
	r.last = data
	s, err := settings.Load(r.path)
	if err != nil {
		r.log.Error("settings refused, the last ones stay in force", "error", err.Error())
		return
	}
	r.apply(s)
	r.log.Info("settings reloaded", "file", r.path)
}
