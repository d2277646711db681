package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// drainTime is drainMs of the deployment.
	drainTime = 2 * time.Second
	// copyAge is the age of the copy from which the store comes back.
	copyAge = 6 * time.Second
	// awayTime is how long the store is away, at least.
	awayTime = 600 * time.Millisecond
	// startTime is how long all machines have run when the traffic starts.
	startTime = 9 * time.Second
)

// runDrill plays the first drill of a store that counts its drills in Store-Era, from 0. A server
// drains, and the store comes back from a copy that lists it as ready. The server writes its entry
// again with its next heartbeat.
func runDrill(l *lab) {
	l.store.put("op/config", config(1))
	var servers []*server
	for i := 1; i <= 3; i++ { // with heartbeats at different times
		servers = append(servers, l.startServer(fmt.Sprintf("i-desk-%d", i), deskService, answerPlain))
		time.Sleep(heartbeat / 3)
	}
	leaving := servers[0]
	l.startGateways(3)
	time.Sleep(startTime)
	var callers callerGroup
	var mu sync.Mutex
	sent := map[string]time.Time{}
	for _, g := range l.gateways {
		for range 4 {
			callers.loop(45*time.Millisecond, func() {
				r := l.request(g, "GET", lookupPath+"x", 1500*time.Millisecond, nil, "")
				mu.Lock()
				defer mu.Unlock()
				sent[r.id] = r.sent
			})
		}
	}
	time.Sleep(time.Second)
	copied := l.store.copy()
	l.note("the store is copied")
	copiedAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	leaving.draining.Store(true)
	leaving.beat()
	acked := time.Now()
	l.note("the store acknowledges that %s drains", leaving.id)
	time.Sleep(time.Until(copiedAt.Add(copyAge - awayTime - heartbeat)))
	if l.trouble {
		leaving.awaitBeat() // so that the next one comes a good second after the return
		l.store.setDown(true)
		l.note("the store is away")
		time.Sleep(awayTime)
		leaving.awaitBeat()
		l.store.restore(copied)
		l.note("the store is back from the copy, with the next Store-Era")
	}
	time.Sleep(4 * time.Second)
	callers.stop()
	late := 0
	for _, r := range leaving.allRuns() {
		if t, ok := sent[r.id]; ok && t.After(acked.Add(drainTime)) {
			late++
			l.note("late: request %s was sent %.2f s after the ack and ran at %s", r.id, t.Sub(acked).Seconds(), leaving.id)
		}
	}
	code := exitHeld
	if late > 0 {
		code = exitBroken
	}
	l.end(code, "%d requests that were sent later than drainMs after the ack ran at %s", late, leaving.id)
}
