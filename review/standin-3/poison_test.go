package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// contactTime is contactMs of the deployment.
	contactTime = 3 * time.Second
	// badPart is the part of prompts on which servers crash.
	badPart = "bad0bad0"
	// firstPart is a part that all prompts share.
	firstPart = "5c1e07a2"
	// readTime is the time from a request to the first event of its answer.
	readTime = 40 * time.Millisecond
	// crashDelay is the time from the first event of an answer to the crash. It is shorter than
	// the time to the second event: 51 tokens (stepCount) at 0.85 ms (step_ms) take 43.35 ms.
	crashDelay = 40 * time.Millisecond
	// backTime is how long a server that has crashed is away.
	backTime = 3 * time.Second
	// expiry is the silence after which the store drops the entry of a server.
	expiry = 3 * heartbeat
	// poisonLength is how long callers send requests.
	poisonLength = 30 * time.Second
	poisonFleet  = 10
	// allowedArrivals is how many requests with the part may reach servers later than
	// contactMs after the fifth crash.
	allowedArrivals = 3
)

// poison is a service whose servers crash on prompts with badPart.
type poison struct {
	lab *lab

	mu       sync.Mutex
	started  int         // servers so far
	crashes  []time.Time // of servers
	arrivals []time.Time // of requests with badPart at servers
}

func (p *poison) startServer() {
	p.mu.Lock()
	p.started++
	id := fmt.Sprintf("i-llm-%d", p.started)
	p.mu.Unlock()
	p.lab.startServer(id, llmService, p.answer)
}

// answer answers a request, or begins to and crashes.
func (p *poison) answer(s *server, w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), badPart+":") {
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
	writeEvents(w, last+1, last+1, crashDelay)
	if !s.crash() {
		return
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	p.lab.note("server %s crashes", s.id)
	go func() {
		time.Sleep(backTime)
		p.startServer()
		time.Sleep(expiry - backTime)
		p.lab.store.delete("servers/" + s.id)
	}()
}

// runPoison plays requests with a part that crashes each server that begins to write an answer on
// it, beside sound requests.
func runPoison(l *lab) {
	p := &poison{lab: l}
	l.store.put("op/config", config(1))
	for range poisonFleet {
		p.startServer()
	}
	l.startGateways(3)
	var callers callerGroup
	own := func() string { return fmt.Sprintf("%08x:4900", rand.Uint32()) }
	for range 10 {
		callers.loop(300*time.Millisecond, func() { l.prompt(firstPart + ":40," + own()) })
	}
	for range 2 {
		callers.loop(time.Second, func() { l.prompt(firstPart + ":40," + badPart + ":60," + own()) })
	}
	time.Sleep(poisonLength)
	callers.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for _, t := range p.arrivals {
		if len(p.crashes) >= 5 && t.After(p.crashes[4].Add(contactTime)) {
			late++
		}
	}
	code := exitHeld
	if late > allowedArrivals {
		code = exitBroken
	}
	l.end(code, "%d crashes of servers; %d requests with the part reached servers later than contactMs after the fifth crash (%d are allowed), %d in all", len(p.crashes), late, allowedArrivals, len(p.arrivals))
}

// prompt sends a prompt with the given parts to one of the gateways.
func (l *lab) prompt(parts string) {
	g := l.gateways[rand.Intn(len(l.gateways))]
	l.request(g, "POST", streamPath+"q", 10*time.Second, promptHeader(5000, parts), "prompt")
}
