package standin2

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases[6] = runLeave }

const (
	// leaveEngines is so many that one of them is within the largest share of a scale_in.
	leaveEngines = 7
	leaveClients = 21
	// leaveTokens take 4 s at the pace of 1.31 ms a token.
	leaveTokens = 3060
	// spotNotice is the time from the notice of a server's end to its end.
	spotNotice = 2 * time.Second
)

// runLeave ends a server 2 s after it has reported that it leaves, while it writes answers
// that have neither a length nor chunks.
func runLeave(f *fleet, trouble bool) bool {
	gateways, servers := f.startFleet(leaveEngines, serverOptions{Slots: 16, Drain: 3 * time.Second, Linger: time.Second, StepMillis: 1.31, StepCount: 51, ReadPerSecond: 177_000, Unframed: true}, false, grownBounds)
	var mu sync.Mutex
	var results []*result
	var group sync.WaitGroup
	for i := range leaveClients {
		c := f.dial(gateways[i%len(gateways)])
		group.Go(func() {
			defer func() { _ = c.Close() }()
			r := f.request(c, fmt.Sprintf("client%d", i+1), "POST", "/ask/x", 15*time.Second, fmt.Sprintf("X-Model: m\r\nX-Token-Usage: 1460,%d\r\n", leaveTokens))
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	busiest, most := servers[0], 0
	for _, p := range servers {
		if n := countLines(f.lines(), " server "+p.name+" runs "); n > most {
			busiest, most = p, n
		}
	}
	if trouble {
		if os.Getenv("NOTICE") != "0" { // NOTICE=0: the same end without a notice, which the gateway tells truthfully
			f.note("platform: %s is to leave in %v", busiest.name, spotNotice)
			_ = busiest.cmd.Process.Signal(syscall.SIGTERM)
		}
		time.Sleep(spotNotice)
		f.note("platform: %s is gone", busiest.name)
		_ = busiest.cmd.Process.Kill()
	}
	group.Wait()
	time.Sleep(300 * time.Millisecond)
	return f.checkOrder(results, trouble)
}

func countLines(lines []string, part string) int {
	n := 0
	for _, line := range lines {
		if strings.Contains(line, part) {
			n++
		}
	}
	return n
}
