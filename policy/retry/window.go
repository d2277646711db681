package retry

import "time"

// windowSlots is the number of slots into which a window is divided.
const windowSlots = 20

// WindowConfig bounds the retries of one service: in each period of Span, all
// processes together make at most Ratio * requests + Extra retries, where
// requests counts the requests of all processes in that period.
type WindowConfig struct {
	Span  time.Duration
	Ratio float64
	Extra float64
	// Reserve is the share of the bound that is left unused. A window advances by
	// one slot of Span / windowSlots at a time, and the slots of the processes begin
	// at different times, so the counts differ a little from those of any given
	// period.
	Reserve float64
}

// Window counts the requests and the retries of one service in one process. It
// is not safe for concurrent use.
type Window struct {
	config WindowConfig
	slots  [windowSlots]windowSlot
}

// windowSlot holds the counts of one slot of Span / windowSlots.
type windowSlot struct {
	index             int64 // number of the slot since time 0
	requests, retries int
}

// NewWindow returns an empty window.
func NewWindow(c WindowConfig) *Window { return &Window{config: c} }

func (w *Window) slot(now time.Duration) *windowSlot {
	index := int64(now / (w.config.Span / windowSlots))
	s := &w.slots[index%windowSlots]
	if s.index != index { // the element still holds the counts of an earlier slot
		*s = windowSlot{index: index}
	}
	return s
}

// RecordRequest records a request; now is the time since any fixed moment,
// which all calls have to share.
func (w *Window) RecordRequest(now time.Duration) { w.slot(now).requests++ }

// TryRetry reports whether a retry is allowed now, and records it if so.
// processes is the number of processes that share the bound.
func (w *Window) TryRetry(now time.Duration, processes int) bool {
	current := w.slot(now)
	requests, retries := 0, 0
	for i := range w.slots {
		s := &w.slots[i]
		if current.index-s.index < windowSlots {
			requests += s.requests
			retries += s.retries
		}
	}
	c := &w.config
	// Each process counts its own requests, so only Extra is divided.
	allowed := (c.Ratio*float64(requests) + c.Extra/float64(max(processes, 1))) * (1 - c.Reserve)
	if float64(retries+1) > allowed {
		return false
	}
	current.retries++
	return true
}
