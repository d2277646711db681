package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playGrace shortens graceS in the settings file, sends SIGHUP, and later stops the gateway:
// SIGTERM, and SIGKILL after the new graceS.
func playGrace(b *bench) (bool, error) {
	b.configure()
	for i := range 3 {
		if _, err := b.startServer(fmt.Sprintf("desk-%d", i), "desk", "-work", "900ms"); err != nil {
			return false, err
		}
		if _, err := b.startServer(fmt.Sprintf("llm-%d", i), "llm", "-pieces", "19", "-interval", "200ms"); err != nil {
			return false, err
		}
	}
	g, err := b.startGateway("gateway-1")
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		g.graceS = 4
		if err := g.writeSettings(); err != nil {
			return false, err
		}
		g.signal(syscall.SIGHUP)
		b.log("settings: graceS 8 is changed to 4, SIGHUP sent")
		time.Sleep(3 * time.Second)
	}
	// A stream that has begun keeps its channel open beyond the time in which the platform
	// sends callers to a gateway that stops.
	c, err := dial(g.callers)
	if err != nil {
		return false, err
	}
	defer c.Close()
	streamed := make(chan result)
	go func() {
		streamed <- c.do(&request{id: "stream-0", method: http.MethodPost, path: "/stream/spec", key: keyOf["tenant-a"], deadline: 8 * time.Second,
			tokens: 1000, parts: []string{"aa", "bb"}, body: "prompt"})
	}()
	time.Sleep(500 * time.Millisecond)
	b.log("SIGTERM")
	stopAt := time.Now()
	g.signal(syscall.SIGTERM)
	go func() {
		time.Sleep(time.Duration(g.graceS * float64(time.Second)))
		if !g.ended() {
			b.log("SIGKILL, %v s after SIGTERM", g.graceS)
			g.kill()
		}
	}()
	b.log("client gets for stream-0: %v", <-streamed)
	r := &request{id: "order-0", method: http.MethodPost, path: "/order/resin", key: keyOf["tenant-a"], deadline: 5 * time.Second, body: "order"}
	b.log("client sends order-0 on the same channel, %.2f s after SIGTERM", time.Since(stopAt).Seconds())
	got := c.do(r)
	b.log("client gets for order-0: %v", got)
	b.copyLog(g, "settings", "stop")
	ran := false
	for _, id := range b.ran() {
		ran = ran || id == r.id
	}
	return got.err != nil && ran, nil
}
