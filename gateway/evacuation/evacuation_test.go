package evacuation

import (
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"camphorwick.dev/gateway/follow"
)

const prefix = "evacuations/"

// state is a list with the data centres that it has reported as evacuated.
type state struct {
	*List
	revision follow.Position
	reported map[string]bool
}

func newState() *state {
	s := &state{}
	s.List = New(Options{Prefix: prefix, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Changed: func(evacuated map[string]bool) { s.reported = evacuated }, Revision: func() follow.Position { return s.revision }})
	return s
}

func (s *state) read(revision follow.Position, items ...follow.Item) {
	s.revision = revision
	s.Replace(items)
}

func item(name string, revision follow.Position) follow.Item {
	return follow.Item{Key: prefix + name, Revision: revision}
}

// Guards against a gateway that sends requests to an evacuated data centre because an
// older report, of a peer or of the store, arrives after a newer one.
func TestNewestRevisionIsInForce(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.read(5)
	is.True(s.Synced())
	s.MergePeer("peer", []Mark{{"dc-1", 9, true}}) // the store turns this gateway away
	is.True(s.reported["dc-1"])
	s.read(7) // an answer of the store from before the evacuation
	is.True(s.reported["dc-1"])
	s.Change(follow.Item{Key: prefix + "dc-1", Revision: 12, Deleted: true})
	is.True(!s.reported["dc-1"])
	s.MergePeer("peer", []Mark{{"dc-1", 9, true}}) // late
	is.True(!s.reported["dc-1"])
	s.read(15, item("dc-1", 14))
	is.True(s.reported["dc-1"])
	s.read(20) // its end was missed
	is.True(!s.reported["dc-1"])
}

// Guards against evacuations by bytes that are none: odd keys, and datagrams with marks
// without end or with a revision that no store has reached.
func TestOddMarksAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.MergePeer("peer", []Mark{{"dc-1", 3, true}}) // nothing was read yet
	is.Equal(s.reported, nil)
	s.read(5, item("", 2), item("a/b", 3), item("a b", 4), item(strings.Repeat("x", 1000), 5))
	is.Equal(len(s.Marks()), 0)
	s.MergePeer("peer", []Mark{{"dc-1", 1 << 60, true}, {"dc-2", 0, true}, {"dc-3", -4, true}, {"", 6, true}})
	is.Equal(len(s.Marks()), 0)
	for i := range 10_000 {
		s.MergePeer("peer", []Mark{{strings.Repeat("d", 1+i%maxNameBytes), follow.Position(10 + i), true}})
	}
	is.Equal(len(s.Marks()), maxMarks)
}

// Guards against gateways that end with different evacuations because they have heard of
// the same changes in another order, from the store or from peers, some of them twice.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"dc-1", "dc-2", "dc-3"}
		var history []Mark
		final := map[string]bool{}
		for revision := range follow.Position(rapid.IntRange(1, 12).Draw(t, "changes")) {
			m := Mark{DataCentre: rapid.SampledFrom(names).Draw(t, "data centre"), Revision: revision + 2, Evacuated: rapid.Bool().Draw(t, "evacuated")}
			history = append(history, m)
			final[m.DataCentre] = m.Evacuated
		}
		s := newState()
		s.read(1)
		reports := append(slices.Clone(history), rapid.SliceOfN(rapid.SampledFrom(history), 0, 5).Draw(t, "again")...)
		for _, m := range rapid.Permutation(reports).Draw(t, "order") {
			if rapid.Bool().Draw(t, "from a peer") {
				s.MergePeer("peer", []Mark{m})
				continue
			}
			s.Change(follow.Item{Key: prefix + m.DataCentre, Revision: m.Revision, Deleted: !m.Evacuated})
		}
		for _, name := range names {
			if s.reported[name] != final[name] {
				t.Fatalf("%s: evacuated is %v after %v", name, s.reported[name], reports)
			}
		}
	})
}

// Guards against a mark of an earlier era of the store that overrules one of a later era because
// its revision is higher, and against a later one that is ignored for the same reason.
func TestMarksOfAnotherEra(t *testing.T) {
	is := is.New(t)
	s := newState()
	at := follow.NewPosition
	s.read(at(1, 50), item("dc-1", at(1, 40)))
	is.True(s.reported["dc-1"])
	s.MergePeer("peer", []Mark{{"dc-1", at(2, 10), false}}) // the peer has read the store after its return
	is.True(!s.reported["dc-1"])
	s.MergePeer("late", []Mark{{"dc-1", at(1, 60), true}})
	is.True(!s.reported["dc-1"])
	s.MergePeer("damaged", []Mark{{"dc-1", at(2+maxEraLead, 10), true}})
	is.True(!s.reported["dc-1"])
	s.read(at(2, 12), item("dc-1", at(2, 11))) // evacuated again
	is.True(s.reported["dc-1"])
	s.read(at(3, 2)) // the copy does not have it
	is.True(!s.reported["dc-1"])
}
