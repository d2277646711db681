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
	// streams is the number of streams at the server that crashes.
	streams = 8
	// otherServers is the number of servers beside that one, so that it is a tenth of its service.
	otherServers = 9
	// cutTime is how long the server is cut off, crashAfterCut the time from the begin of the cut
	// to its crash, rebornTime that from the crash to its next start.
	cutTime       = 2500 * time.Millisecond
	crashAfterCut = 300 * time.Millisecond
	rebornTime    = 1500 * time.Millisecond
	// freezeTime is how long the gateway stands still, crashAfterFreeze the time from then to the
	// crash of the server, crashTime how long that is down.
	freezeTime       = 4 * time.Second
	crashAfterFreeze = 600 * time.Millisecond
	crashTime        = 3 * time.Second
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

// runTruncate plays a server that crashes in the middle of streams and is back before the gateway
// reads the ends of their connections: first because the server is cut off meanwhile, then because
// the gateway stands still.
func runTruncate(l *lab) {
	l.store.put("op/config", config(1))
	g := l.startGateway(settings{memoryMB: 284, maxFiles: 4200})
	byCut := l.playStreams(g, "cut", func(s *server) {
		s.link.cut()
		l.note("server %s is cut off", s.id)
		time.Sleep(crashAfterCut)
		l.restart(s, rebornTime)
		time.Sleep(cutTime - crashAfterCut - rebornTime)
		s.link.heal()
		l.note("the cut has healed")
	})
	byFreeze := l.playStreams(g, "freeze", func(s *server) {
		_ = g.cmd.Process.Signal(syscall.SIGSTOP)
		l.note("%s stands still", g.name)
		woken := time.After(freezeTime)
		time.Sleep(crashAfterFreeze)
		l.restart(s, crashTime)
		<-woken
		_ = g.cmd.Process.Signal(syscall.SIGCONT)
		l.note("%s goes on", g.name)
	})
	code := exitHeld
	if byCut+byFreeze > 0 {
		code = exitBroken
	}
	l.end(code, "streams that end as complete before their last event: %d of %d after a cut, %d of %d after a freeze", byCut, streams, byFreeze, streams)
}

// restart crashes a server and starts it again at its address and under its ID.
func (l *lab) restart(s *server, down time.Duration) {
	s.crash()
	l.note("server %s crashes", s.id)
	time.Sleep(down)
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		l.end(exitNotRun, "the server could not start again: %v", err)
	}
	l.startServerAt(listener, s.link, s.id, llmService, answerUnframed)
}

// playStreams sends streams to a server, plays the disruption, and returns how many answers end as
// complete although they are not. The streams may go on at other servers.
func (l *lab) playStreams(g *gateway, name string, disrupt func(*server)) int {
	first := l.startLinkedServer("i-"+name+"-1", llmService, answerUnframed)
	l.awaitReady(g)
	time.Sleep(time.Second)
	results := make([]result, streams)
	var group sync.WaitGroup
	for i := range results {
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = l.request(g, "POST", longPath+name, 15*time.Second, promptHeader(20000, "91bd3f06:20000"), "prompt")
		}()
	}
	time.Sleep(1200 * time.Millisecond)
	servers := []*server{first}
	for i := range otherServers {
		servers = append(servers, l.startLinkedServer(fmt.Sprintf("i-%s-%d", name, i+2), llmService, answerUnframed))
	}
	time.Sleep(500 * time.Millisecond)
	if l.trouble {
		disrupt(first)
	}
	group.Wait()
	short := 0
	for _, r := range results {
		events := countEvents(r.body)
		complete := r.err == nil && r.status == http.StatusOK
		l.note("request %s: %d of %d events, complete %v", r.id, events, streamEvents, complete)
		if complete && events < streamEvents {
			short++
		}
	}
	for _, s := range servers { // the next streams go to servers of their own
		l.store.delete("servers/" + s.id)
	}
	return short
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
