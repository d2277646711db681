package enginesim

import "context"

// Faults are the injected faults that last until they are changed.
type Faults struct {
	Hang       bool    `json:"hang"`        // answer nothing and compute nothing
	FailStarts bool    `json:"fail_starts"` // refuse starts at once
	SlowFactor float64 `json:"slow_factor"` // factor on the step time, positive
}

// FaultChange changes the faults that it names.
type FaultChange struct {
	Hang         *bool    `json:"hang"`
	FailStarts   *bool    `json:"fail_starts"`
	SlowFactor   *float64 `json:"slow_factor"`
	BreakStreams bool     `json:"break_streams"` // break all attachments once
}

// Inject changes the faults and returns those in force. It returns an *Error
// of kind KindRefused for a slow factor that is not positive.
func (e *Engine) Inject(c FaultChange) (Faults, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.SlowFactor != nil && *c.SlowFactor <= 0 {
		return e.faults, refusedf("slow factor %v is not positive", *c.SlowFactor)
	}
	if c.SlowFactor != nil {
		e.faults.SlowFactor = *c.SlowFactor
	}
	if c.FailStarts != nil {
		e.faults.FailStarts = *c.FailStarts
	}
	if c.Hang != nil && *c.Hang != e.faults.Hang {
		e.setHang(*c.Hang)
	}
	if c.BreakStreams {
		for _, s := range e.streams {
			if s.activeAttachment != 0 {
				e.detach(s)
			}
		}
	}
	return e.faults, nil
}

func (e *Engine) setHang(hang bool) {
	e.faults.Hang = hang
	if hang {
		e.resumed = make(chan struct{})
		return
	}
	close(e.resumed)
	e.resumed = nil
}

// WaitResumed waits while the engine hangs. In-process users call it before
// an operation that should hang; Server does so for each request. Errors are
// those of ctx.
func (e *Engine) WaitResumed(ctx context.Context) error {
	for {
		e.mu.Lock()
		resumed := e.resumed
		e.mu.Unlock()
		if resumed == nil {
			return nil
		}
		select {
		case <-resumed:
		case <-e.closed:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitWhileHung blocks the step loop while the engine hangs. It returns false
// when the engine is closed.
func (e *Engine) waitWhileHung() bool {
	_ = e.WaitResumed(context.Background()) // no error without a deadline
	select {
	case <-e.closed:
		return false
	default:
		return true
	}
}
