package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	leavingServers = 7 // of each service; one of them leaves, 0.143 of them
	leavingPieces  = 16
	leavingGap     = 250 * time.Millisecond
	// noticeTime is the time from the notice of a server to its end (scale_in, spot).
	noticeTime = 2 * time.Second
)

// playLeaving ends one server of each service two seconds after its notice. Answers end
// with their connection.
func playLeaving(b *bench) (bool, error) {
	b.configure()
	var mu sync.Mutex
	runs := map[string]int{} // by server
	b.onEvent = func(e serverEvent) {
		mu.Lock()
		defer mu.Unlock()
		if e.Event == "runs" {
			runs[e.Server]++
		}
	}
	var desk, llm []*server
	for i := range leavingServers {
		flags := []string{"-unframed", "-pieces", fmt.Sprint(leavingPieces), "-interval", leavingGap.String()}
		d, err := b.startServer(fmt.Sprintf("desk-%d", i), "desk", flags...)
		if err != nil {
			return false, err
		}
		l, err := b.startServer(fmt.Sprintf("llm-%d", i), "llm", flags...)
		if err != nil {
			return false, err
		}
		desk, llm = append(desk, d), append(llm, l)
	}
	g, err := b.startGateway("gateway-1")
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var wait sync.WaitGroup
	broken := false
	// Requests of both kinds come while the server can still get some of them: until the
	// gateway can have seen the notice. Each takes 3.75 s.
	send := func(stream bool, n int) {
		r := &request{id: fmt.Sprintf("stock-%d", n), method: http.MethodGet, path: "/stock/item", key: keyOf["tenant-a"], deadline: 10 * time.Second}
		if stream {
			r = &request{id: fmt.Sprintf("stream-%d", n), method: http.MethodPost, path: "/stream/spec", key: keyOf["tenant-a"], deadline: 10 * time.Second,
				tokens: 1000, parts: []string{"aa", fmt.Sprintf("%04x", n)}, body: "prompt"}
		}
		wait.Go(func() {
			b.log("client sends %s", r.id)
			got := call(g.callers, r)
			b.log("client gets for %s: %v", r.id, got)
			if got.err != nil || got.status != 200 || got.body == wholeAnswer(stream, r.id, leavingPieces) {
				return
			}
			b.log("BROKEN: %s was answered 200 as complete with %d bytes of %d; it ends with %q", r.id, len(got.body), len(wholeAnswer(stream, r.id, leavingPieces)), tail(got.body))
			mu.Lock()
			defer mu.Unlock()
			broken = true
		})
	}
	for n := range 60 {
		send(false, n)
		send(true, n)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	mu.Lock()
	leaving := []*server{busiest(desk, runs), busiest(llm, runs)}
	mu.Unlock()
	for _, s := range leaving {
		b.register(s, "draining")
	}
	if b.trouble {
		time.Sleep(noticeTime)
		for _, s := range leaving {
			b.log("server %s ends, %v after its notice", s.id, noticeTime)
			s.kill()
		}
	}
	wait.Wait()
	b.copyLog(g, "server draining", "stream broken", "answer broken")
	return broken, nil
}

// busiest returns the server that runs most requests.
func busiest(list []*server, runs map[string]int) *server {
	best := list[0]
	for _, s := range list {
		if runs[s.id] > runs[best.id] {
			best = s
		}
	}
	return best
}

func tail(s string) string { return s[max(0, len(s)-40):] }
