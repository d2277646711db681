package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// contactTime is contactMs of the deployment.
	contactTime = 3 * time.Second
	// firstPart is a part that all prompts share.
	firstPart = "5c1e07a2"
	// readTime is the time from a request to the first event of its answer.
	readTime = 40 * time.Millisecond
	// backTime is how long a server that has crashed is away.
	backTime = 3 * time.Second
	// expiry is the silence after which the store drops the entry of a server.
	expiry = 3 * heartbeat
	// poisonLength is how long callers send requests in each part.
	poisonLength = 25 * time.Second
	// allowedArrivals is how many requests with the part may reach servers later than
	// contactMs after the fifth crash.
	allowedArrivals = 3
)

// poison is a service whose servers crash on prompts with a part.
type poison struct {
	lab   *lab
	part  string // of prompts on which servers crash
	fleet int    // number of servers
	// sameID is set if servers start again at their address under the ID that they had.
	sameID bool
	// crashDelay is the time from the first event of an answer to the crash. It is shorter than
	// the time to the second event: 51 tokens (stepCount) at 0.85 ms (step_ms) take 43.35 ms.
	crashDelay time.Duration

	mu       sync.Mutex
	ended    bool        // no server starts any more
	started  int         // servers so far
	crashes  []time.Time // of servers
	arrivals []time.Time // of requests with the part at servers
}

func (p *poison) startServer() {
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		return
	}
	p.started++
	id := fmt.Sprintf("i-%s-%d", p.part, p.started)
	p.mu.Unlock()
	p.lab.startServer(id, llmService, p.answer)
}

// answer answers a request, or begins to and crashes.
func (p *poison) answer(s *server, w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), p.part+":") {
		answerStream(s, w, r)
		return
	}
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	p.mu.Unlock()
	if !p.lab.trouble {
		answerStream(s, w, r)
		return
	}
	time.Sleep(readTime)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	writeEvents(w, last+1, last+1, p.crashDelay)
	if !s.crash() {
		return
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	p.lab.note("server %s crashes", s.id)
	go p.replace(s)
}

// replace starts a server that has crashed again.
func (p *poison) replace(s *server) {
	time.Sleep(backTime)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended {
		return
	}
	if !p.sameID {
		p.startServer()
		time.Sleep(expiry - backTime)
		p.lab.store.delete("servers/" + s.id)
		return
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		p.lab.end(exitNotRun, "a server could not start again: %v", err)
	}
	p.lab.startServerAt(listener, nil, s.id, llmService, p.answer)
}

// play sends requests with the part beside sound ones. It returns how many of them reached servers
// later than contactMs after the fifth crash.
func (p *poison) play() int {
	l := p.lab
	for range p.fleet {
		p.startServer()
	}
	l.startGateways(3)
	var callers callerGroup
	own := func() string { return fmt.Sprintf("%08x:4900", rand.Uint32()) }
	for range 10 {
		callers.loop(300*time.Millisecond, func() { l.prompt(firstPart + ":40," + own()) })
	}
	for range 2 {
		callers.loop(time.Second, func() { l.prompt(firstPart + ":40," + p.part + ":60," + own()) })
	}
	time.Sleep(poisonLength)
	callers.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	late := 0
	for _, t := range p.arrivals {
		if len(p.crashes) >= 5 && t.After(p.crashes[4].Add(contactTime)) {
			late++
		}
	}
	l.note("%d crashes of servers; %d requests with the part reached servers, %d of them later than contactMs after the fifth crash", len(p.crashes), len(p.arrivals), late)
	return late
}

// runPoison plays requests with a part that crashes each server that begins to write an answer on
// it: first at two servers that start again under their IDs, then at ten that come back under new
// ones and crash a little after the first event.
func runPoison(l *lab) {
	l.store.put("op/config", config(1))
	bySameID := (&poison{lab: l, part: "bad00001", fleet: 2, sameID: true, crashDelay: 5 * time.Millisecond}).play()
	l.reset()
	byDelay := (&poison{lab: l, part: "bad00002", fleet: 10, crashDelay: 40 * time.Millisecond}).play()
	code := exitHeld
	if max(bySameID, byDelay) > allowedArrivals {
		code = exitBroken
	}
	l.end(code, "requests with the part that reached servers later than contactMs after the fifth crash, %d allowed: %d where servers start again under their IDs, %d where they crash 40 ms after the first event", allowedArrivals, bySameID, byDelay)
}

// prompt sends a prompt with the given parts to one of the gateways.
func (l *lab) prompt(parts string) {
	g := l.gateways[rand.Intn(len(l.gateways))]
	l.request(g, "POST", streamPath+"q", 10*time.Second, promptHeader(5000, parts), "prompt")
}
