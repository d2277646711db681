// Package rawanswer is a stand-in for an HTTP server whose answers end in unusual
// ways: it sends given bytes and closes the connection.
package rawanswer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Server answers the first request of each connection.
type Server struct {
	// Answer holds the bytes of the answer, which need not be complete or valid.
	Answer string
	// Reset makes the server reset the connection after the answer. Otherwise it
	// closes it in good order.
	Reset bool
	// Early makes the server answer without having read the body of the request.
	Early bool
	// Crash makes the server close its port before it ends the connection, as the
	// end of its process does.
	Crash bool
	// CloseDelay is the time after the end of the connection at which the server closes its
	// port if Crash is set, as a kernel may; 0 to close the port first. The server then
	// accepts one connection alone.
	CloseDelay time.Duration
	// Silent makes the server accept one connection alone and answer no further attempt to
	// connect from before its end on, as if its network was cut.
	Silent bool
	// Endless, unless it is empty, is sent again and again after the answer, until the
	// connection is closed or OfferedBytes are written.
	Endless string

	listener net.Listener
	mu       sync.Mutex   // guards queued
	queued   []net.Conn   // connections that are not accepted
	written  atomic.Int64 // bytes of Endless
}

// OfferedBytes is how much of an endless answer is written at most.
const OfferedBytes = 192 << 20

// Written returns how many bytes of endless answers were written.
func (s *Server) Written() int64 { return s.written.Load() }

// Start serves on a free port of the loopback interface until Close is called. It
// returns the address as host:port.
func (s *Server) Start() (address string, err error) {
	if s.Silent {
		s.listener, err = listenWithoutQueue()
	} else {
		s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		return "", fmt.Errorf("start server of raw answers: %w", err)
	}
	go s.accept()
	return s.listener.Addr().String(), nil
}

// StartFor is Start until the end of a test, which it fails if the server cannot be
// started.
func (s *Server) StartFor(t testing.TB) (address string) {
	t.Helper()
	address, err := s.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return address
}

// Close closes the port. Answers in progress are not interrupted.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.queued {
		_ = c.Close()
	}
	s.queued = nil
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.Silent || s.CloseDelay > 0 { // the kernel still completes connections
			s.serve(c)
			return
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if !s.Early {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, s.Answer) // the client may have gone
	if s.Endless != "" {
		s.writeEndless(c)
	}
	if s.Silent {
		s.fillQueue()
	}
	switch {
	case s.Crash && s.CloseDelay > 0:
		time.AfterFunc(s.CloseDelay, s.Close)
	case s.Crash:
		s.Close()
	}
	if tcp, ok := c.(*net.TCPConn); ok && s.Reset {
		_ = tcp.SetLinger(0)
	}
}

// blockBytes is about how much of an endless answer is written at once.
const blockBytes = 64 << 10

func (s *Server) writeEndless(c net.Conn) {
	block := []byte(strings.Repeat(s.Endless, 1+blockBytes/len(s.Endless)))
	for s.written.Load() < OfferedBytes {
		n, err := c.Write(block)
		s.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// EndlessHeads are beginnings of heads of answers, with the part that is repeated without
// end, by their description.
func EndlessHeads() map[string]*Server {
	return map[string]*Server{
		"no status line":        {Endless: "x"},
		"one long field":        {Answer: "HTTP/1.1 200 OK\r\nX: ", Endless: "y"},
		"many fields":           {Answer: "HTTP/1.1 200 OK\r\n", Endless: "X-Some-Field: y\r\n"},
		"a continued field":     {Answer: "HTTP/1.1 200 OK\r\nX: y\r\n", Endless: " y\r\n"},
		"an interim head":       {Answer: "HTTP/1.1 103 Early Hints\r\nX: ", Endless: "y"},
		"continue interim head": {Answer: "HTTP/1.1 100 Continue\r\nX: ", Endless: "y"},
	}
}
