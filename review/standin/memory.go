package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playMemory sends requests with bodies of the largest size that the configuration allows,
// and ends the gateway as the platform does if it exceeds memory_mb.
func playMemory(b *bench) (bool, error) {
	b.configure()
	for i := range 4 {
		if _, err := b.startServer(fmt.Sprintf("desk-%d", i), "desk", "-work", "3s"); err != nil {
			return false, err
		}
	}
	g, err := b.startGateway("gateway-1")
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	size, count := 1200, 64
	if b.trouble {
		size = bodyLimit
	}
	body := strings.Repeat("x", size)
	var wait sync.WaitGroup
	unanswered := 0
	var mu sync.Mutex
	for n := range count {
		wait.Go(func() {
			r := &request{id: fmt.Sprintf("stock-%d", n), method: http.MethodPost, path: "/stock/item", key: keyOf["tenant-a"], deadline: 10 * time.Second, body: body}
			got := call(g.callers, r)
			b.log("client gets for %s: %v", r.id, got)
			if got.err != nil {
				mu.Lock()
				unanswered++
				mu.Unlock()
			}
		})
	}
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	peak, killed := 0, false
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
		mb := residentMB(g.cmd.Process.Pid)
		peak = max(peak, mb)
		if !killed && mb > g.memoryMB {
			killed = true
			b.log("the gateway has %d MB, more than its limit of %d MB; the platform kills it", mb, g.memoryMB)
			g.kill()
		}
	}
	b.log("peak memory %d MB of %d, requests without an answer: %d of %d", peak, g.memoryMB, unanswered, count)
	return killed, nil
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
