package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// newAttempt returns the ID of an attempt.
func newAttempt() string { return fmt.Sprintf("%016x", attempts.Add(1)) }

// result is what a caller got.
type result struct {
	id     string
	status int // 0 for no complete answer
	server string
	body   string
	header http.Header
	err    error
	sent   time.Time
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// request sends one request to a gateway and reads the answer.
func (l *lab) request(g *gateway, method, path string, deadline time.Duration, header map[string]string, body string) result {
	id := newAttempt()
	out := result{id: id, sent: time.Now()}
	r, err := http.NewRequest(method, "http://"+g.callers+path, strings.NewReader(body))
	if err != nil {
		fail("build a request", err)
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Api-Key", tenantKey)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	l.note("request %s %s %s sent to %s", id, method, path, g.name)
	answer, err := httpClient.Do(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		out.body, out.header = string(data), answer.Header
	}
	if err != nil {
		out.err = err
		l.note("request %s: no complete answer: %v", id, err)
		return out
	}
	out.status = answer.StatusCode
	out.server = strings.TrimPrefix(answer.Header.Get("X-Server-Stamp"), "3e1b.07.")
	l.note("request %s: %d, server %q, %d bytes", id, out.status, out.server, len(out.body))
	return out
}

// promptHeader returns the headers of a prompt with the given parts.
func promptHeader(tokens int, parts string) map[string]string {
	return map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,400", tokens), "X-Prompt-Prefix": parts}
}

// callerGroup is callers that send requests until stop is called.
type callerGroup struct {
	once    sync.Once
	stopped chan struct{}
	group   sync.WaitGroup
}

// loop starts a caller that sends a request, and the next one after a pause.
func (c *callerGroup) loop(pause time.Duration, send func()) {
	c.once.Do(func() { c.stopped = make(chan struct{}) })
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		for {
			select {
			case <-c.stopped:
				return
			case <-time.After(pause):
			}
			send()
		}
	}()
}

func (c *callerGroup) stop() {
	close(c.stopped)
	c.group.Wait()
}
