package schedule

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// lasting returns a prompt whose answer has a number of tokens and whose first event takes no
// time.
func lasting(tokens int) Request {
	r := prompt(1000)
	r.Duration = func(time.Time) Duration {
		return Duration{Whole: time.Hour, FirstEvent: time.Millisecond, AnswerTokens: tokens}
	}
	return r
}

// observePace records that a server takes a number of times as long as its model for answers.
func observePace(t *testing.T, s *Scheduler, server string, times float64) {
	t.Helper()
	r := prompt(1000)
	for _, o := range s.registry.Servers("service") {
		if o.ID != server {
			r.Exclude = append(r.Exclude, o.ID)
		}
	}
	a, err := s.Acquire(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer a.End()
	for range minPaceValues {
		a.ObserveEvents(10, time.Duration(times*100)*time.Millisecond) // 100 tokens of 1 ms
	}
}

// Guards against an answer that is cut because its engine lags behind its model, while another
// engine would have ended it before the gateway stops.
func TestStoppingGatewayAvoidsSlowEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newScheduler(2)
		observePace(t, s, "s0", 5)
		observePace(t, s, "s1", 1)
		s.StopAt(time.Now().Add(2 * time.Second))
		for range 3 {
			a, err := s.Acquire(context.Background(), lasting(1000)) // 5 s and 1 s
			is.NoErr(err)
			is.Equal(a.Server.ID, "s1")
			defer a.End()
		}
		_, err := s.Acquire(context.Background(), lasting(2000)) // 2.2 s at the faster one
		var stopping *StoppingError
		is.True(errors.As(err, &stopping))
		is.True(stopping.Needed > stopping.Left)
	})
}

// Guards against a pace that counts long after the engine has become faster or slower.
func TestPaceOfAnEngineIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newScheduler(1)
		observePace(t, s, "s0", 5)
		time.Sleep(paceMaxAge + time.Second)
		s.StopAt(time.Now().Add(2500 * time.Millisecond))
		a, err := s.Acquire(context.Background(), lasting(1000))
		is.NoErr(err)
		a.End()
	})
}

// Guards against a gateway that runs and refuses long requests, and against the refusal of
// requests that may be cut.
func TestOnlyAStoppingGatewayRefusesLongRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newScheduler(1)
		long := lasting(9000)
		is.NoErr(s.CheckStop(&long))
		s.StopAt(time.Now().Add(time.Second))
		is.True(s.CheckStop(&long) != nil)
		repeatable := prompt(1000)
		is.NoErr(s.CheckStop(&repeatable))
	})
}

// Guards against a prompt that waits for an engine of a gateway that stops until it is too
// late, and against one that is refused before.
func TestWaitingPromptIsRefusedOnceItIsTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := newScheduler(1)
		go func() { _ = s.Run(t.Context()) }()
		held := fill(t, s, 4)
		started := time.Now()
		s.StopAt(started.Add(3 * time.Second))
		_, err := s.Acquire(context.Background(), lasting(1000)) // 1.43 s of 3 s
		var stopping *StoppingError
		is.True(errors.As(err, &stopping))
		waited := time.Since(started)
		is.True(waited > 1500*time.Millisecond && waited < 1700*time.Millisecond)
		for _, a := range held {
			a.End()
		}
	})
}
