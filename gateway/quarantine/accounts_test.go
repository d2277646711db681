package quarantine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// batch sends prompts with a part of an account at all gateways at once, four at each, which
// crash or are answered after 50 ms. It returns how many reached servers.
func batch(lists []*List, account, part string, crashes bool) int {
	var reached atomic.Int64
	var group sync.WaitGroup
	for i, l := range lists {
		for n := range 4 {
			group.Go(func() {
				r := track(l, account, part)
				defer r.Done()
				for range 2 { // maxAttempts of a route
					if r.Admit(context.Background()) != nil {
						return
					}
					reached.Add(1)
					r.Sent(fmt.Sprintf("%s-%d-%d-%d", account, i, n, reached.Load()))
					time.Sleep(50 * time.Millisecond)
					if !crashes {
						r.Answered()
						return
					}
					r.ServerCrashed()
				}
			})
		}
	}
	group.Wait()
	return int(reached.Load())
}

// Guards against a batch of prompts of a second account that all reach servers, since the
// part is refused only to the account whose servers crashed: one shows whether servers crash
// on it for the second account too.
func TestBatchOfAnotherAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lists := gateways(t, newMemoryStore(), 4, 0)
		for i := range 3 {
			is.True(crash(lists[i], fmt.Sprint("s", i), "first", "bad"))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		is.True(batch(lists, "second", "bad", true) <= 1)
		time.Sleep(time.Second)
		later := batch(lists, "second", "bad", true) + batch(lists, "third", "bad", true)
		is.True(later <= 1) // a trial that is due
	})
}

// Guards against a part of one account that is refused to another one for longer than its
// first prompt takes, and against a prompt that is lost, for instance with its gateway,
// having the part refused for good.
func TestAnotherAccountIsServedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lists := gateways(t, newMemoryStore(), 4, 0)
		for i := range 3 {
			is.True(crash(lists[i], fmt.Sprint("s", i), "first", "p"))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		lost := track(lists[0], "second", "p")
		is.NoErr(lost.Admit(context.Background()))
		lost.Done()
		time.Sleep(time.Second)
		is.Equal(batch(lists, "second", "p", false), 0)
		time.Sleep(probeTime)
		is.True(batch(lists, "second", "p", false) >= 1)
		time.Sleep(500 * time.Millisecond)
		is.Equal(batch(lists, "second", "p", false), 16)
	})
}
