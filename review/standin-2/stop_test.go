package standin2

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"muscat-a", "muscat-b", "muscat-c"}

// engine describes an engine as the configuration does. The times of a token differ by case.
func engine(stepMillis float64, stepCount int) map[string]any {
	return map[string]any{"slotCount": 16, "kvCapacity": 315000, "kvTokenBytes": 163840, "stepCount": stepCount, "models": []any{map[string]any{"name": "m"}},
		"step_ms": stepMillis, "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0,
		"usual": map[string]any{"prompt": 1460, "answer": 1000}, "hopMs": 0.05}
}

// configuration returns a configuration with a streaming route to engines and a
// non-idempotent route to a plain service.
func configuration(version int, resumable bool, stepMillis float64, stepCount int) map[string]any {
	stream := map[string]any{"name": "ask", "host": "desk.example", "prefix": "/ask/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 300, "gapTargetMs": 250,
		"priority": 1, "service": "llm", "maxAttempts": 2, "public": false, "sticky": true, "resumable": resumable}
	order := map[string]any{"name": "order", "host": "desk.example", "prefix": "/order/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 100,
		"priority": 2, "service": "desk", "maxAttempts": 1, "public": false}
	return map[string]any{"version": version, "routeTable": []any{stream, order},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/healthz", "maxConns": 424, "engineName": engine(stepMillis, stepCount)},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 96}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant1", "apiKeys": []string{"key1"}, "priority": 1}}}
}

// startFleet starts a store, engines and gateways, one in each zone, and waits for them.
func (f *fleet) startFleet(engines int, o serverOptions, resumable bool, b bounds) (gateways, servers []*process) {
	f.startStore()
	f.configure(configuration(1, resumable, o.StepMillis, o.StepCount))
	for i := range engines {
		o.ID, o.Service, o.Zone = fmt.Sprintf("i-engine%d", i+1), "llm", zones[i%len(zones)]
		servers = append(servers, f.startServer(o))
	}
	time.Sleep(300 * time.Millisecond)
	for i, zone := range zones {
		gateways = append(gateways, f.startGateway(fmt.Sprintf("frontend-%d", i+1), zone, zones, b))
	}
	for _, p := range gateways {
		f.awaitReady(p)
	}
	time.Sleep(4500 * time.Millisecond) // calm for longer than contactMs
	return gateways, servers
}

const (
	// stopClients is the number of clients with a kept channel to the gateway that stops.
	stopClients = 6
	// stopTokens is the number of tokens of each answer, stopStepMillis the time of each: 4 s.
	stopTokens     = 1000
	stopStepMillis = 4.0
)

func init() { cases[8] = runStop }

// runStop stops a gateway with SIGTERM. Clients with kept channels have a stream each when it
// comes, and send the next one when it has ended.
func runStop(f *fleet, trouble bool) bool {
	gateways, _ := f.startFleet(3, serverOptions{Slots: 16, Drain: 2 * time.Second, StepMillis: stopStepMillis, StepCount: 10, ReadPerSecond: 177_000}, true, smallBounds)
	var mu sync.Mutex
	var results []*result
	var group sync.WaitGroup
	for i := range stopClients {
		c := f.dial(gateways[0])
		group.Go(func() {
			defer func() { _ = c.Close() }()
			for n := range 2 {
				r := f.request(c, fmt.Sprintf("client%d-%d", i+1, n+1), "POST", "/ask/x", 15*time.Second, fmt.Sprintf("X-Model: m\r\nX-Token-Usage: 1460,%d\r\n", stopTokens))
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				if !r.complete || r.closesSoon {
					return
				}
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	var stopped time.Time
	if trouble {
		stopped = time.Now()
		f.note("platform: SIGTERM to %s", gateways[0].name)
		_ = gateways[0].cmd.Process.Signal(syscall.SIGTERM)
		go func() {
			select {
			case <-gateways[0].done:
				f.note("platform: %s has ended, %.2f s after SIGTERM", gateways[0].name, time.Since(stopped).Seconds())
			case <-time.After(time.Duration(smallBounds.graceSeconds) * time.Second):
				f.note("platform: SIGKILL to %s", gateways[0].name)
				_ = gateways[0].cmd.Process.Kill()
			}
		}()
	}
	group.Wait()
	time.Sleep(300 * time.Millisecond) // for the last lines of the servers
	broken := false
	for _, r := range results {
		ran := hasLine(f.lines(), " runs "+r.id+" ")
		if r.complete || !ran {
			continue
		}
		if !trouble {
			f.note("check: %s was lost without a disruption", r.id)
			broken = true
			continue
		}
		sentAfter := r.sent.Sub(stopped)
		// What was sent no later than 3 s after SIGTERM is excused if its server was still at
		// work in the last sixth of the grace time.
		excused := sentAfter <= 3*time.Second && r.ended.Sub(stopped) >= time.Duration(smallBounds.graceSeconds)*time.Second*5/6
		f.note("check: %s was sent %.2f s after SIGTERM, ran, and its channel ended without a complete answer %.2f s after SIGTERM (%d of %d events); excused %t",
			r.id, sentAfter.Seconds(), r.ended.Sub(stopped).Seconds(), len(r.events), r.total, excused)
		broken = broken || !excused
	}
	return broken
}

func hasLine(lines []string, part string) bool {
	for _, line := range lines {
		if strings.Contains(line, part) {
			return true
		}
	}
	return false
}
