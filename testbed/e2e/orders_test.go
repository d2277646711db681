package e2e

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/testbed/fleet"
	"camphorwick.dev/testbed/history"
)

// orderWorkers is the number of callers that send orders at once.
const orderWorkers = 8

// faultTime is the duration of a fault in these tests.
const faultTime = 2500 * time.Millisecond

// object is a JSON body or a part of one.
type object = map[string]any

// storeRules sets the fault rules of the platform's store.
func storeRules(f *fleet.Fleet, rules ...object) error {
	return f.Faults(f.Platform, http.MethodPut, "/faults", object{"seed": 7, "rules": rules})
}

// journalWrites returns a fault rule for writes of the order journal.
func journalWrites(fault string, probability float64) object {
	return object{"fault": fault, "operation": "put", "key_prefix": "orders/", "probability": probability}
}

func endStoreFaults(f *fleet.Fleet) error {
	if err := f.Faults(f.Platform, http.MethodDelete, "/faults", nil); err != nil {
		return err
	}
	return f.Faults(f.Platform, http.MethodPost, "/faults/release", nil)
}

func serviceFaults(f *fleet.Fleet, faults object) error {
	for _, service := range f.Orders {
		if err := f.Faults(service, http.MethodPut, "/faults", faults); err != nil {
			return err
		}
	}
	return nil
}

// restart kills and restarts a daemon.
func restart(f *fleet.Fleet, d *fleet.Daemon) error {
	d.KillNow()
	return f.StartDaemon(d)
}

// orderFault is a fault during which orders are sent. begin injects it and
// returns after its duration; end removes it, also if begin failed.
type orderFault struct {
	name       string
	begin, end func(ctx context.Context, f *fleet.Fleet) error
}

func noEnd(context.Context, *fleet.Fleet) error { return nil }

func endStore(_ context.Context, f *fleet.Fleet) error { return endStoreFaults(f) }

func endNetwork(_ context.Context, f *fleet.Fleet) error { return f.EndProxyFaults() }

func endService(_ context.Context, f *fleet.Fleet) error { return serviceFaults(f, object{}) }

// pauseAgent pauses an agent that has orders in flight, for longer than every
// deadline and than the time until it is suspected.
func pauseAgent(f *fleet.Fleet) error {
	time.Sleep(500 * time.Millisecond)
	if err := f.Agents[0].Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(3500 * time.Millisecond)
	return f.Agents[0].Signal(syscall.SIGCONT)
}

// repeatedly calls act at an interval for faultTime.
func repeatedly(interval time.Duration, act func(i int) error) error {
	for i, end := 0, time.Now().Add(faultTime); time.Now().Before(end); i++ {
		if err := act(i); err != nil {
			return err
		}
		time.Sleep(interval)
	}
	return nil
}

// forFaultTime waits for faultTime and returns the error of setting the fault.
func forFaultTime(err error) error {
	time.Sleep(faultTime)
	return err
}

var storeFaults = []orderFault{
	{"answers to journal writes lost", func(_ context.Context, f *fleet.Fleet) error {
		return forFaultTime(storeRules(f, journalWrites("lose_answer", 0.5)))
	}, endStore},
	{"journal writes lost", func(_ context.Context, f *fleet.Fleet) error {
		return forFaultTime(storeRules(f, journalWrites("lose_request", 0.5)))
	}, endStore},
	{"journal writes held and released later", func(_ context.Context, f *fleet.Fleet) error {
		if err := storeRules(f, journalWrites("hold", 0.4)); err != nil {
			return err
		}
		return repeatedly(400*time.Millisecond, func(int) error { return f.Faults(f.Platform, http.MethodPost, "/faults/release", nil) })
	}, endStore},
	{"store up and down", func(_ context.Context, f *fleet.Fleet) error {
		return repeatedly(150*time.Millisecond, func(i int) error {
			return f.Faults(f.Platform, http.MethodPut, "/faults", object{"outage": []string{"refuse", "", "lose_request", ""}[i%4]})
		})
	}, endStore},
	{"store slower than deadlines", func(_ context.Context, f *fleet.Fleet) error {
		return forFaultTime(f.Faults(f.Platform, http.MethodPut, "/faults", object{"latency_ms": 900}))
	}, endStore},
	{"store connections cut and restored", func(_ context.Context, f *fleet.Fleet) error {
		return repeatedly(200*time.Millisecond, func(i int) error {
			if i%2 == 1 {
				return f.Agents[i/2%2].Store.EndFaults()
			}
			return f.Agents[i/2%2].Store.Cut()
		})
	}, endNetwork},
}

var processFaults = []orderFault{
	{"agents killed", func(_ context.Context, f *fleet.Fleet) error {
		return repeatedly(600*time.Millisecond, func(i int) error { return restart(f, f.Agents[i%2]) })
	}, noEnd},
	{"agent paused beyond deadlines while it claims", func(_ context.Context, f *fleet.Fleet) error {
		if err := f.Faults(f.Platform, http.MethodPut, "/faults", object{"latency_ms": 300}); err != nil {
			return err
		}
		return pauseAgent(f)
	}, endStore},
	{"agent paused beyond deadlines while orders run", func(_ context.Context, f *fleet.Fleet) error {
		if err := serviceFaults(f, object{"latency_ms": 300}); err != nil {
			return err
		}
		return pauseAgent(f)
	}, endService},
	{"entry killed", func(_ context.Context, f *fleet.Fleet) error {
		return repeatedly(time.Second, func(int) error { return restart(f, f.Entries[0]) })
	}, noEnd},
	{"entry killed while the store is slow", func(_ context.Context, f *fleet.Fleet) error {
		if err := f.Faults(f.Platform, http.MethodPut, "/faults", object{"latency_ms": 500}); err != nil {
			return err
		}
		return repeatedly(time.Second, func(int) error { return restart(f, f.Entries[0]) })
	}, endStore},
}

var networkFaults = []orderFault{
	{"connection to the service broken before and after the run", func(_ context.Context, f *fleet.Fleet) error {
		return forFaultTime(serviceFaults(f, object{"seed": 3, "latency_ms": 20, "rules": []object{
			{"fault": "lose_request", "probability": 0.3}, {"fault": "lose_answer", "probability": 0.3}}}))
	}, endService},
	{"service connections break", func(_ context.Context, f *fleet.Fleet) error {
		if err := serviceFaults(f, object{"latency_ms": 60}); err != nil {
			return err
		}
		return repeatedly(50*time.Millisecond, func(i int) error { return f.Agents[i%2].Backend.Break() })
	}, endService},
	{"agent connections break while orders run", func(_ context.Context, f *fleet.Fleet) error {
		if err := serviceFaults(f, object{"latency_ms": 150}); err != nil {
			return err
		}
		return repeatedly(250*time.Millisecond, func(i int) error { return f.Agents[i%2].Control.Break() })
	}, endService},
	{"data from an agent dropped", func(_ context.Context, f *fleet.Fleet) error {
		err := f.Agents[0].Control.Drop(fleet.Down)
		time.Sleep(4 * time.Second) // longer than the time until it is suspected
		return err
	}, endNetwork},
}

// runOrderFaults sends orders during the faults, which follow one another. It
// checks the answers of the callers 3 s after all faults and orders have ended.
func runOrderFaults(t *testing.T, faults []orderFault) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Orders: 2, Proxies: true})
	orders := history.NewOrders(f)
	loadCtx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for worker := range orderWorkers {
		group.Go(func() { orders.SendContinuously(loadCtx, uint64(worker)) })
	}
	for _, fault := range faults {
		if err := fault.begin(ctx, f); err != nil {
			t.Errorf("%s: %v", fault.name, err)
		}
		if err := fault.end(ctx, f); err != nil {
			t.Errorf("%s: %v", fault.name, err)
		}
		time.Sleep(300 * time.Millisecond)
	}
	stop()
	group.Wait()
	is.NoErr(endStoreFaults(f))
	endNetworkFaults(ctx, t, f)
	time.Sleep(3 * time.Second) // held or delayed writes take effect
	report(t, func() (string, []error) { return orders.Check(ctx) })
	is.NoErr(f.Stop())
}

// Guards against orders that run twice, and against outcomes that are reported
// wrongly, when the store loses, delays or refuses writes and answers.
func TestOrdersUnderStoreFaults(t *testing.T) {
	t.Parallel()
	runOrderFaults(t, storeFaults)
}

// Guards against orders that run twice or are reported wrongly when agents and
// entries are killed or paused.
func TestOrdersUnderProcessFaults(t *testing.T) {
	t.Parallel()
	runOrderFaults(t, processFaults)
}

// Guards against orders that run twice or are reported wrongly when connections
// break on either side of the agent.
func TestOrdersUnderNetworkFaults(t *testing.T) {
	t.Parallel()
	runOrderFaults(t, networkFaults)
}

// Guards against a query that returns not_run while the order is still in flight:
// its entry has been killed, and its agent still waits for the store to write the
// claim.
func TestQueryPromisesNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Orders: 1, Proxies: true})
	orders := history.NewOrders(f)
	key := history.NewKey()
	is.NoErr(f.Faults(f.Platform, http.MethodPut, "/faults", object{"rules": []object{
		{"operation": "put", "key_prefix": "orders/", "latency_ms": 1500}}}))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		orders.Send(ctx, 0, key, 10*time.Second)
	}()
	time.Sleep(500 * time.Millisecond)
	f.Entries[0].KillNow()
	<-sent
	_, ok := orders.Query(ctx, 1, key)
	is.True(ok)
	await(t, 10*time.Second, "the order runs", func() bool {
		out, ok := orders.Query(ctx, 1, key)
		return ok && out == "completed"
	})
	is.NoErr(f.StartDaemon(f.Entries[0]))
	is.NoErr(f.AwaitSessions(ctx))
	report(t, func() (string, []error) { return orders.Check(ctx) })
}
