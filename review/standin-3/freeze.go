package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// longPath is that of the route whose streams are played: like tender-review.
	longPath = "/review/"
	// streamEvents is the number of events of a whole answer, eventPause the time between them.
	streamEvents = 16
	eventPause   = 250 * time.Millisecond
	// freezeStreams is the number of streams at the server that crashes.
	freezeStreams = 8
	// freezeTime is how long the gateway stands still.
	freezeTime = 4 * time.Second
	// crashTime is how long the server is down.
	crashTime = 3 * time.Second
	// crashAfter is the time from the freeze to the crash.
	crashAfter = 600 * time.Millisecond
)

// answerUnframed answers a stream with neither a length nor chunks, which ends with its connection.
func answerUnframed(s *server, w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	s.mu.Lock()
	s.hijacked = append(s.hijacked, c)
	s.mu.Unlock()
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: 3e1b.07.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", r.Header.Get("X-Attempt-Id"), s.id)
	for i := last + 1; i <= streamEvents; i++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %s\n\n", i, strings.Repeat("y", 40)); err != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

// runFreeze plays a gateway that stands still while a server crashes and comes back.
func runFreeze(l *lab) {
	l.store.put("op/config", config(1))
	crashing := l.startServer("i-llm-1", llmService, answerUnframed)
	g := l.startGateway(settings{memoryMB: 284, maxFiles: 4200})
	l.awaitReady(g)
	time.Sleep(time.Second)
	results := make([]result, freezeStreams)
	var group sync.WaitGroup
	for i := range results {
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = l.request(g, "POST", longPath+"q", 15*time.Second, promptHeader(20000, "91bd3f06:20000"), "prompt")
		}()
	}
	time.Sleep(1200 * time.Millisecond)
	l.startServer("i-llm-2", llmService, answerUnframed) // where the streams may go on
	time.Sleep(500 * time.Millisecond)
	if l.trouble {
		_ = g.cmd.Process.Signal(syscall.SIGSTOP)
		l.note("%s stands still", g.name)
		woken := time.After(freezeTime)
		time.Sleep(crashAfter)
		crashing.crash()
		l.note("server %s crashes", crashing.id)
		time.Sleep(crashTime)
		listener, err := net.Listen("tcp", crashing.address)
		if err != nil {
			l.end(exitNotRun, "the server could not start again: %v", err)
		}
		l.startServerAt(listener, crashing.id, llmService, answerUnframed)
		<-woken
		_ = g.cmd.Process.Signal(syscall.SIGCONT)
		l.note("%s goes on", g.name)
	}
	group.Wait()
	short, whole, broken := 0, 0, 0
	for _, r := range results {
		events := countEvents(r.body)
		switch {
		case r.err != nil || r.status != 200:
			broken++
		case events < streamEvents:
			short++
			l.note("request %s: the answer ends as complete after %d of %d events", r.id, events, streamEvents)
		default:
			whole++
		}
	}
	code := exitHeld
	if short > 0 {
		code = exitBroken
	}
	l.end(code, "of %d streams %d end as complete before their last event, %d are whole, %d end with an error", len(results), short, whole, broken)
}

func countEvents(body string) int {
	n := 0
	for lines := bufio.NewScanner(strings.NewReader(body)); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "id:") {
			n++
		}
	}
	return n
}
