package gatewaysoak

import (
	"fmt"
	"time"

	"camphorwick.dev/platform/fleetsim"
)

// sending holds the times at which the bytes of a request were sent.
type sending struct {
	begun   time.Time // first byte
	written time.Time // last byte; zero if it could not be sent
}

// unanswered is a request whose connection ended before its complete answer.
type unanswered struct {
	id      string
	gateway *gateway
	process *instance
	sending
	ended time.Time // when the caller saw the end of the connection
	head  bool      // the head of the answer was received
	cause error
}

const (
	// crossingTime is for how long a request may be on its way while the gateway
	// closes the connection without having read it.
	crossingTime = 200 * time.Millisecond
	// earlyStop is the time after SIGTERM in which gateways accept all streams,
	// also those that may last until the end of the grace time.
	earlyStop = 3 * time.Second
	// earliestCut is the time after SIGTERM from which such streams may be cut.
	earliestCut = graceTime * 5 / 6
)

// checkUnanswered reports the unanswered requests that planned work does not excuse,
// and counts the others.
func (r *run) checkUnanswered() {
	r.mu.Lock()
	list := r.unanswered
	r.mu.Unlock()
	for _, u := range list {
		r.mu.Lock()
		runs := r.runs[u.id]
		r.mu.Unlock()
		switch {
		case u.head && u.mayBeCut():
			r.count("stream cut at the end of the grace time")
		case u.head:
			r.addViolation("answer cut: %s", u.describe(runs))
		case len(runs) > 0:
			r.addViolation("ran and was not answered: %s", u.describe(runs))
		case u.written.IsZero():
			r.count("closed before the request was sent")
		case u.ended.Sub(u.written) >= crossingTime:
			r.addViolation("neither answered nor refused: %s", u.describe(runs))
		default:
			r.count("crossed")
		}
	}
}

// mayBeCut reports whether the request is a stream that was accepted early in a stop
// and still ran at the end of the grace time.
func (u *unanswered) mayBeCut() bool {
	terms := u.process.terms()
	return kindOf(u.id) == streamKind && len(terms) > 0 && u.begun.Sub(terms[0]) < earlyStop && u.ended.Sub(terms[0]) > earliestCut
}

func (u *unanswered) describe(runs []fleetsim.Run) string {
	text := fmt.Sprintf("request %s at %s, process %d, connection ended %v after the request was begun (%v)", u.id, u.gateway.name, u.process.Pid(),
		u.ended.Sub(u.begun).Round(time.Millisecond), u.cause)
	for i, t := range u.process.terms() {
		text += fmt.Sprintf(", begun %v after SIGTERM %d", u.begun.Sub(t).Round(time.Millisecond), i+1)
	}
	for _, ran := range runs {
		text += fmt.Sprintf(", run by %s after %v", ran.Server, ran.At.Sub(u.begun).Round(time.Millisecond))
	}
	return text
}

// recordUnanswered records a request without a complete answer for the check at the
// end of a run of planned work.
func (c *caller) recordUnanswered(id string, head bool, cause error) {
	if !c.run.options.Planned {
		return
	}
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.run.unanswered = append(c.run.unanswered, unanswered{id: id, gateway: c.gateway, process: c.process, sending: c.sending, ended: time.Now(), head: head, cause: cause})
}
