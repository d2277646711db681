// Package evacuation keeps which data centres are evacuated: while one is, its servers get
// no new requests. The platform's store holds one key for each, and is the authority. A
// gateway that the store turns away learns of changes from its peers.
//
// Both sources are merged by the revision at which the store recorded a change, so that
// neither a late report of a peer nor an old answer of the store undoes a newer change.
package evacuation

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"

	"camphorwick.dev/gateway/follow"
)

const (
	// maxMarks bounds the data centres of which something is known. An installation has a
	// few; other names are mistakes, or come from a damaged datagram.
	maxMarks = 64
	// maxNameBytes is the longest name of a data centre. A key of the store has at most 200
	// bytes.
	maxNameBytes = 128
	// maxRevisionLead is how far the revision of a peer's mark may be beyond the newest one
	// that this process knows. The store makes some thousand changes a second; a damaged
	// datagram with a higher number would stay in force for ever.
	maxRevisionLead = 1_000_000
	// maxEraLead is the same for the era of the store, which rises when it comes back from a
	// copy.
	maxEraLead = 16
)

// Mark says whether a data centre is evacuated.
type Mark struct {
	DataCentre string
	// Revision is that of the store at which this was so. A mark with a higher one
	// replaces those with lower ones.
	Revision  follow.Position
	Evacuated bool
}

// Options configure a List.
type Options struct {
	// Prefix is that of the keys in the store, followed by the name of a data centre.
	Prefix string
	Log    *slog.Logger
	// Changed is called without a lock when other data centres are evacuated than before,
	// and after the first read of the store, with all that are. The receiver keeps the map.
	Changed func(evacuated map[string]bool)
	// Known reports whether any server is in a data centre; nil if that is not known. An
	// evacuation of another one is kept, because servers may come, and logged as a
	// probable mistake.
	Known func(dataCentre string) bool
	// Revision returns the newest known revision of the store; while Replace runs, at least
	// that of the read.
	Revision func() follow.Position
}

// List holds the newest mark of each data centre. It implements follow.Handler and is safe
// for concurrent use.
type List struct {
	Options

	mu     sync.Mutex
	marks  map[string]Mark
	synced bool
}

var _ follow.Handler = (*List)(nil)

// New returns a list without marks.
func New(o Options) *List { return &List{Options: o, marks: map[string]Mark{}} }

// Replace implements follow.Handler. What the store does not list is not evacuated as of the
// revision of the read.
func (l *List) Replace(items []follow.Item) {
	listed := map[string]bool{}
	var marks []Mark
	for _, item := range items {
		if m, ok := l.decode(item); ok {
			listed[m.DataCentre] = true
			marks = append(marks, m)
		}
	}
	read := l.Revision()
	l.mu.Lock()
	for name := range l.marks {
		if !listed[name] {
			marks = append(marks, Mark{DataCentre: name, Revision: read})
		}
	}
	first := !l.synced
	l.synced = true
	l.mu.Unlock()
	l.merge(marks, "", first)
}

// Change implements follow.Handler.
func (l *List) Change(item follow.Item) {
	if m, ok := l.decode(item); ok {
		l.merge([]Mark{m}, "", false)
	}
}

// Failed implements follow.Handler: what is known stays in force.
func (l *List) Failed(error) {}

// Restored implements follow.Handler: changes arrive by Replace.
func (l *List) Restored() {}

// Synced reports whether the store has been read.
func (l *List) Synced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.synced
}

// Marks returns all marks, those of ended evacuations too, sorted by data centre.
func (l *List) Marks() []Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.SortedFunc(maps.Values(l.marks), func(a, b Mark) int { return strings.Compare(a.DataCentre, b.DataCentre) })
}

// MergePeer adopts the marks of a peer that are newer than the own ones. Before the first
// read of the store it ignores them, because the list then has no effect.
func (l *List) MergePeer(peer string, marks []Mark) {
	if !l.Synced() {
		return
	}
	var valid []Mark
	known := l.Revision()
	for _, m := range marks {
		if isName(m.DataCentre) && m.Revision > 0 && isPlausible(m.Revision, known) {
			valid = append(valid, m)
		}
	}
	l.merge(valid, peer, false)
}

// isPlausible reports whether a peer may know a position of the store, as seen from the newest
// one that this process knows. A peer may know of later eras.
func isPlausible(p, known follow.Position) bool {
	if p.Era() > known.Era() {
		return p.Era() <= known.Era()+maxEraLead
	}
	return p <= known+maxRevisionLead
}

// decode returns the mark of an item of the store. The value of the key says nothing.
func (l *List) decode(item follow.Item) (Mark, bool) {
	name := strings.TrimPrefix(item.Key, l.Prefix)
	if !isName(name) {
		l.Log.Warn("evacuation ignored, the key names no data centre", "key", item.Key, "revision", item.Revision)
		return Mark{}, false
	}
	return Mark{DataCentre: name, Revision: item.Revision, Evacuated: !item.Deleted}, true
}

func isName(name string) bool {
	isOther := func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f }
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, isOther)
}

// merge adopts the newer ones of marks, from the store or the named peer, and reports
// changes. always reports the state even without any.
func (l *List) merge(marks []Mark, peer string, always bool) {
	l.mu.Lock()
	var changes []Mark
	for _, m := range marks {
		old, known := l.marks[m.DataCentre]
		if m.Revision <= old.Revision || !known && len(l.marks) >= maxMarks {
			continue
		}
		l.marks[m.DataCentre] = m
		if m.Evacuated != old.Evacuated {
			changes = append(changes, m)
		}
	}
	evacuated := map[string]bool{}
	for name, m := range l.marks {
		if m.Evacuated {
			evacuated[name] = true
		}
	}
	l.mu.Unlock()
	if always || len(changes) > 0 {
		l.Changed(evacuated)
	}
	for _, m := range changes {
		l.log(m, peer)
	}
}

func (l *List) log(m Mark, peer string) {
	source := "store"
	if peer != "" {
		source = "peer " + peer
	}
	if !m.Evacuated {
		l.Log.Info("evacuation of a data centre ended", "evacuated_data_centre", m.DataCentre, "revision", m.Revision, "source", source)
		return
	}
	l.Log.Info("data centre evacuated, its servers get no new requests", "evacuated_data_centre", m.DataCentre, "revision", m.Revision, "source", source)
	if l.Known != nil && !l.Known(m.DataCentre) {
		l.Log.Warn("the evacuated data centre has no server", "evacuated_data_centre", m.DataCentre, "revision", m.Revision)
	}
}
