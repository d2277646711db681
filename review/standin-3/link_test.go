package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy in front of a server that can be cut: nothing passes then, and what was sent
// meanwhile, ends of connections too, passes when the cut has healed.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed chan struct{} // closed unless the link is cut
}

// newLink returns a link to a server, whose address callers use in place of that of the server.
func newLink(target string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen", err)
	}
	k := &link{listener: listener, target: target, healed: make(chan struct{})}
	close(k.healed)
	go k.accept()
	return k
}

func (k *link) address() string { return k.listener.Addr().String() }

// cut cuts the link, heal ends the cut.
func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
}

// await waits until the link is not cut.
func (k *link) await() {
	k.mu.Lock()
	healed := k.healed
	k.mu.Unlock()
	<-healed
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c.(*net.TCPConn))
	}
}

// serve connects a caller to the server. A caller that the server refuses is reset.
func (k *link) serve(caller *net.TCPConn) {
	k.await()
	c, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	server := c.(*net.TCPConn)
	go k.pass(server, caller)
	k.pass(caller, server)
}

// pass passes what one end sends, and the end of it, to the other one.
func (k *link) pass(from, to *net.TCPConn) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		k.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
