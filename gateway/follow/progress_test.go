package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a change that is never seen: a check, here or of a peer, that was under way
// when the last proofs were taken back must not bring them back by its answer.
func TestCheckUnderWayDoesNotUndoADoubt(t *testing.T) {
	for _, ofPeer := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var p progress
			p.recordRead(1, true, time.Now())
			p.startWait(true)
			for range 3 {
				time.Sleep(doubtTime)
				p.recordCheck(1, time.Now())
			}
			prove := func(began time.Time) {
				if ofPeer {
					p.adopt(Proof{LastChange: 1, Through: 2, Exact: true, At: began})
				} else {
					p.recordCheck(2, began)
				}
			}
			began := time.Now()
			prove(began) // revision 2 is a change that the store does not report yet
			is.Equal(p.known(), Position(2))
			time.Sleep(time.Millisecond)
			p.doubt()
			prove(began)
			is.Equal(p.known(), Position(1)) // so the next check asks for it
			time.Sleep(time.Millisecond)
			prove(time.Now())
			is.Equal(p.known(), Position(2))
		})
	}
}
