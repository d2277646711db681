package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"

	"camphorwick.dev/settings"
)

// settingsPollInterval is the interval at which the settings file is read,
// because it may change without a signal.
const settingsPollInterval = 2 * time.Second

// reloader reloads the settings of a running process. If apply is nil, reload does
// nothing; the signal is still received, so that it does not terminate the
// process.
type reloader struct {
	log  *slog.Logger
	path string
	role settings.Role // role of the process, which cannot change at run time
	// apply applies the settings that may change at run time; nil if the role
	// has none.
	apply    func(*settings.Settings)
	lastData []byte // content of the file at the last read; at first that of the settings in force
}

// watchSettings reloads the settings on SIGHUP and when the file has changed,
// until ctx ends. An invalid file is reported, and the last settings stay in
// force.
func watchSettings(ctx context.Context, signals <-chan os.Signal, r reloader) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			r.log.Info("settings reload requested", "signal", "SIGHUP")
			r.reload()
		case <-ticker.C:
			r.reload()
		}
	}
}

// reload applies the settings file if its content has changed.
func (r *reloader) reload() {
	if r.apply == nil {
		return
	}
	data, err := settings.Read(r.path)
	if err != nil {
		r.log.Error("settings not read, the last ones stay in force", "error", err.Error())
		return
	}
	if bytes.Equal(data, r.lastData) {
		return
	}
	r.lastData = data
	s, err := r.parse(data)
	if err != nil {
		r.log.Error("settings refused, the last ones stay in force", "error", err.Error())
		return
	}
	r.apply(s)
	r.log.Info("settings reloaded", "file", r.path)
}

// parse returns the settings of a file with the given content. Those of another
// role are an error.
func (r *reloader) parse(data []byte) (*settings.Settings, error) {
	s, err := settings.Parse(r.path, data)
	if err != nil {
		return nil, err
	}
	if s.Role != r.role {
		return nil, &settings.Error{File: r.path, Field: "role", Value: string(s.Role), Allowed: string(r.role) + " until the process is restarted"}
	}
	return s, nil
}
