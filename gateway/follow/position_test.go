package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a position of one era that counts as newer than one of a later era, and against
// an order within an era that is not that of the revisions.
func TestOrderOfPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := func(name string) int64 { return rapid.Int64Range(0, maxEra).Draw(t, name) }
		revision := func(name string) int64 { return rapid.Int64Range(0, maxRevision).Draw(t, name) }
		eraA, eraB, revA, revB := era("era a"), era("era b"), revision("revision a"), revision("revision b")
		a, b := NewPosition(eraA, revA), NewPosition(eraB, revB)
		if a.Era() != eraA || a.Revision() != revA {
			t.Fatalf("%d.%d became %d.%d", eraA, revA, a.Era(), a.Revision())
		}
		if (a < b) != (eraA < eraB || eraA == eraB && revA < revB) {
			t.Fatalf("%d.%d < %d.%d is %t", eraA, revA, eraB, revB, a < b)
		}
	})
}

// Guards against a number out of range that spills into the other part of a position.
func TestPositionsOutOfRange(t *testing.T) {
	is := is.New(t)
	is.Equal(NewPosition(3, maxRevision+1), NewPosition(3, maxRevision))
	is.Equal(NewPosition(maxEra+1, 2), NewPosition(maxEra, 2))
	is.Equal(NewPosition(-1, -1), Position(0))
	is.Equal(NewPosition(0, 77), Position(77)) // a store without eras
}

// Guards against a proof of a peer in one era that makes the state of another count as current.
func TestProofOfAnotherEraProvesNothing(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1, 0)
	for _, eras := range [][2]int64{{1, 2}, {2, 1}} {
		var p progress
		p.recordRead(NewPosition(eras[0], 10), true, began)
		isBehind := p.adopt(Proof{LastChange: NewPosition(eras[1], 5), Through: NewPosition(eras[1], 20), Exact: true, At: began.Add(1)})
		is.True(!isBehind)
		_, at := p.waiting()
		is.Equal(at, began)
		is.Equal(p.known(), NewPosition(eras[0], 10))
	}
}
