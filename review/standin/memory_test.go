package standin

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryGateways = 2
	memoryServers  = 14 // of 16 slots
	memoryRounds   = 3
	// Each gateway gets 16 requests a second, fewer than the site sends to one zone. With
	// the largest bodies these are 537 Mbit/s, about half of its link.
	roundRequests   = 96
	requestInterval = time.Second / 16
	memoryWork      = "5s" // of a request at its server
	restartDelay    = time.Second
)

// playMemory sends requests with bodies of the largest size that the configuration allows,
// and ends a gateway as the platform does each time it exceeds memory_mb.
func playMemory(b *bench) (bool, error) {
	b.configure()
	for i := range memoryServers {
		if _, err := b.startServer(fmt.Sprintf("desk-%d", i), "desk", "-work", memoryWork); err != nil {
			return false, err
		}
	}
	var gateways []*gateway
	for i := range memoryGateways {
		g, err := b.startGateway(fmt.Sprintf("gateway-%d", i+1))
		if err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(3 * time.Second)
	size := 1200
	if b.trouble {
		size = bodyLimit
	}
	var wait sync.WaitGroup
	ends, errs := make([]int, len(gateways)), make([]error, len(gateways))
	for i, g := range gateways {
		wait.Go(func() {
			for round := range memoryRounds {
				killed := b.playRound(g, round, strings.Repeat("x", size))
				if !killed {
					continue
				}
				ends[i]++
				time.Sleep(restartDelay)
				if errs[i] = b.launch(g); errs[i] != nil {
					return
				}
			}
		})
	}
	wait.Wait()
	machines := 0
	for i, g := range gateways {
		if errs[i] != nil {
			return false, errs[i]
		}
		b.log("gateway %s exceeded its memory and was ended %d times", g.vm, ends[i])
		if ends[i] >= 3 {
			machines++
		}
	}
	return machines >= 2, nil
}

// playRound sends the requests of a round and waits for their ends. It reports whether the
// gateway was ended because of its memory.
func (b *bench) playRound(g *gateway, round int, body string) (killed bool) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	answered, unanswered, peak := 0, 0, 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range roundRequests {
			wait.Go(func() {
				r := &request{id: fmt.Sprintf("%s-%d-%d", g.vm, round, n), method: http.MethodPost, path: "/stock/item", key: keyOf["tenant-a"],
					deadline: 10 * time.Second, body: body}
				got := call(g.callers, r)
				b.log("client gets for %s: %v", r.id, got)
				mu.Lock()
				defer mu.Unlock()
				if got.err != nil {
					unanswered++
				} else {
					answered++
				}
			})
			time.Sleep(requestInterval)
		}
		wait.Wait()
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
		if killed {
			continue
		}
		mb := residentMB(g.cmd.Process.Pid)
		peak = max(peak, mb)
		if mb > g.memoryMB {
			killed = true
			b.log("%s has %d MB, more than its limit of %d MB; the platform kills it", g.vm, mb, g.memoryMB)
			g.kill()
		}
	}
	b.log("%s, round %d: peak %d MB, %d requests answered, %d without an answer", g.vm, round+1, peak, answered, unanswered)
	return killed
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024
		}
	}
	return 0
}
