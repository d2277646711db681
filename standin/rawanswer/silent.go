package rawanswer

import (
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// attemptTime is how long an attempt to connect may take before the queue of a listening
// socket counts as full.
const attemptTime = 50 * time.Millisecond

// listenWithoutQueue listens on a free port of the loopback interface with the shortest queue
// of connections that the kernel allows.
func listenWithoutQueue() (net.Listener, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }() // net.FileListener has a copy
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, fmt.Errorf("bind socket: %w", err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return net.FileListener(file)
}

// fillQueue opens connections that are not accepted until the kernel answers no further
// attempt. They stay open until Close.
func (s *Server) fillQueue() {
	for {
		c, err := net.DialTimeout("tcp", s.listener.Addr().String(), attemptTime)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.queued = append(s.queued, c)
		s.mu.Unlock()
	}
}
