package standin2

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// serverOptions describe a stand-in for a backend server.
type serverOptions struct {
	ID, Service, Zone, Address, Store string
	Slots                             int
	Heartbeat, Drain, Linger          time.Duration
	// Unframed answers have neither a length nor chunks and end with their connection.
	Unframed bool
	// StepMillis is the time of a token, StepCount the tokens of an event, ReadPerSecond the
	// prompt tokens that are read in a second.
	StepMillis, ReadPerSecond float64
	StepCount                 int
	Work                      time.Duration // of a plain request
	AnswerBytes               int           // least length of the answer to a plain request
}

// server answers streams on paths that begin with /ask/, and all other requests with one body.
type server struct {
	serverOptions
	born    int64
	slots   chan struct{}
	queued  atomic.Int64
	leaving atomic.Bool
	logMu   sync.Mutex
}

// maxQueued is the few requests that wait for a slot.
const maxQueued = 24

// log writes a line for the driver of the case.
func (s *server) log(event, id string, more string) {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	fmt.Printf("%s server %s %s %s %s\n", stamp(time.Now()), s.ID, event, id, more)
}

func (s *server) run() error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	s.born, s.slots = time.Now().UnixMilli(), make(chan struct{}, s.Slots)
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	go s.beat()
	go func() {
		<-term
		s.leaving.Store(true)
		s.register("draining") // the store has accepted the report when it returns
		s.log("draining", "-", "")
		time.Sleep(s.Drain + s.Linger)
		s.log("exits", "-", "")
		os.Exit(0)
	}()
	for {
		c, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.serve(c)
	}
}

func (s *server) beat() {
	for {
		if !s.leaving.Load() {
			s.register("ready")
		}
		time.Sleep(s.Heartbeat)
	}
}

func (s *server) register(state string) {
	entry, _ := json.Marshal(map[string]any{"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slotCount": s.Slots,
		"state": state, "coldLeftMs": 0, "sequence": 1, "born": s.born})
	admin(s.Store, "/admin/put?beat=1&key="+url.QueryEscape("servers/"+s.ID), entry)
}

// admin calls the operator's side of the store.
func admin(address, target string, body []byte) {
	answer, err := http.Post("http://"+address+target, "application/json", bytes.NewReader(body))
	if err == nil {
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.handle(c, r) {
			return
		}
	}
}

func (s *server) refuse(c net.Conn, id string, status int, extra string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\n%s%sContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), id, s.ID, s.ownHeaders(), extra)
	return err == nil
}

// ownHeaders returns what the server says of itself.
func (s *server) ownHeaders() string {
	if s.leaving.Load() {
		return "Server-Leaving: 1\r\n"
	}
	return ""
}

// handle answers one request. It returns false if the connection must be closed.
func (s *server) handle(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		return s.refuse(c, id, http.StatusMisdirectedRequest, "")
	}
	if strings.HasPrefix(r.URL.Path, "/-/") {
		return s.refuse(c, id, http.StatusBadRequest, "")
	}
	if id == "" {
		return s.refuse(c, id, http.StatusBadRequest, "")
	}
	left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		left = 60_000
	}
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	if s.queued.Add(1) > maxQueued {
		s.queued.Add(-1)
		return s.refuse(c, id, http.StatusServiceUnavailable, "")
	}
	select {
	case s.slots <- struct{}{}:
		s.queued.Add(-1)
	case <-time.After(time.Until(deadline)):
		s.queued.Add(-1)
		return s.refuse(c, id, http.StatusServiceUnavailable, "")
	}
	defer func() { <-s.slots }()
	s.log("runs", id, r.Method+" "+r.RequestURI+" after event "+orNone(r.Header.Get("Last-Event-Id"))+" tenant "+r.Header.Get("X-Tenant"))
	if strings.HasPrefix(r.URL.Path, "/ask/") {
		return s.stream(c, r, id, deadline)
	}
	time.Sleep(s.Work)
	body := "answer to " + id + "\n"
	body += strings.Repeat("x", max(0, s.AnswerBytes-len(body)))
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", id, s.ID, id, s.ownHeaders(), len(body), body)
	s.log("answered", id, "")
	return err == nil
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// stream reads the prompt and writes events of StepCount tokens each, at the pace that the
// configuration states for the engine.
func (s *server) stream(c net.Conn, r *http.Request, id string, deadline time.Time) bool {
	prompt, answer, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	promptTokens, _ := strconv.Atoi(prompt)
	answerTokens, _ := strconv.Atoi(answer)
	total := max(1, (answerTokens+s.StepCount-1)/s.StepCount)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	time.Sleep(time.Duration(float64(promptTokens) / s.ReadPerSecond * float64(time.Second)))
	framing := "Transfer-Encoding: chunked\r\n"
	if s.Unframed {
		framing = "Connection: close\r\n"
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\n%sContent-Type: text/event-stream\r\n%s\r\n", id, s.ID, id, s.ownHeaders(), framing); err != nil {
		s.log("cut", id, "before the first event")
		return false
	}
	pass := time.Duration(s.StepMillis * float64(s.StepCount) * float64(time.Millisecond))
	next := time.Now()
	for n := after + 1; n <= total; n++ {
		next = next.Add(pass)
		if next.After(deadline) {
			time.Sleep(time.Until(deadline))
			s.log("stopped", id, fmt.Sprintf("at the time limit, before event %d of %d", n, total))
			return false
		}
		time.Sleep(time.Until(next))
		event := fmt.Sprintf("id: %d\ndata: event %d of %d for %s\n\n", n, n, total, id)
		text := event
		if !s.Unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, text); err != nil {
			s.log("cut", id, fmt.Sprintf("by the caller, at event %d of %d", n, total))
			return false
		}
	}
	s.log("answered", id, fmt.Sprintf("%d events", total))
	if s.Unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
