package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"go.opentelemetry.io/otel/metric"
)

const (
	// newerConfigDelay is how long a version may be in force at a peer and not here
	// before this process counts as behind. A change normally reaches all gateways in
	// less time.
	newerConfigDelay = 500 * time.Millisecond
	// maxRefreshInterval bounds the time between two refreshes because of one version,
	// which doubles each time while the store cannot be read.
	maxRefreshInterval = 30 * time.Second
)

// configLag compares the configuration in force with the versions that peers report. It
// is safe for concurrent use.
type configLag struct {
	log     *slog.Logger
	inForce func() int64 // version in force in this process
	refresh func()       // reads the configuration

	mu       sync.Mutex
	missing  int64     // version of a peer that was not in force here at its last report; 0 if there is none
	since    time.Time // first report of missing
	reported bool      // a line says that this process is behind
	// disproved is a version that a peer reported before a read of the store that did
	// not find it.
	disproved int64
	// nextRefresh is when the configuration is read, and refreshInterval the time
	// from then to the next read.
	nextRefresh     time.Time
	refreshInterval time.Duration
}

// registerMetrics registers the version in force and the time for which it has been
// behind.
func (l *configLag) registerMetrics(m metric.Meter) error {
	version, err := m.Int64ObservableGauge("gateway.config_version", metric.WithDescription("Configuration version in force"))
	if err != nil {
		return err
	}
	behind, err := m.Float64ObservableGauge("gateway.config_behind", metric.WithUnit("s"), metric.WithDescription("Time for which a peer has been known to have a newer configuration"))
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(version, l.inForce())
		o.ObserveFloat64(behind, l.behind(time.Now()).Seconds())
		return nil
	}, version, behind)
	return err
}

// observe handles the report of a peer. It reads the configuration if a version has been
// missing for newerConfigDelay.
func (l *configLag) observe(version int64, now time.Time) {
	if l.isMissing(version, now) {
		l.refresh()
	}
}

// isMissing records a report and returns whether the configuration must be read.
func (l *configLag) isMissing(version int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	inForce := l.inForce()
	if l.missing != 0 && inForce >= l.missing {
		l.clear(inForce, now)
	}
	if version <= inForce || version == l.disproved {
		return false
	}
	if l.missing == 0 {
		l.missing, l.since = version, now
		l.nextRefresh, l.refreshInterval = now.Add(newerConfigDelay), newerConfigDelay
	}
	if now.Before(l.nextRefresh) {
		return false
	}
	l.reported = true
	l.log.Info("a peer has a newer configuration", "version", version, "in_force", inForce, "behind_ms", now.Sub(l.since).Milliseconds())
	l.refreshInterval = min(2*l.refreshInterval, maxRefreshInterval)
	l.nextRefresh = now.Add(l.refreshInterval)
	return true
}

// handleRead handles the end of a read of the configuration that began at the given time.
// The store is the authority: a version that was reported before and that the read did
// not find does not exist.
func (l *configLag) handleRead(started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.missing == 0 || !l.since.Before(started) {
		return
	}
	inForce := l.inForce()
	if inForce < l.missing {
		l.log.Warn("the store has no configuration that a peer has reported, or it cannot be decoded", "version", l.missing, "in_force", inForce)
		l.disproved = l.missing
	}
	l.clear(inForce, time.Now())
}

// clear records that the missing version, or a newer one, is in force. mu is held.
func (l *configLag) clear(inForce int64, now time.Time) {
	if l.reported {
		l.log.Info("configuration no longer behind", "in_force", inForce, "behind_ms", now.Sub(l.since).Milliseconds())
	}
	l.missing, l.reported = 0, false
}

// behind returns for how long a version that a peer has in force is known and not in
// force here; 0 if none is.
func (l *configLag) behind(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.missing <= l.inForce() {
		return 0
	}
	return now.Sub(l.since)
}
