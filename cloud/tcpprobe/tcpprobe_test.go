package tcpprobe

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

func dialer(address string) Dial {
	return func(ctx context.Context) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func probe(ctx context.Context, address string) State {
	state, conn := Server(ctx, dialer(address))
	if conn != nil {
		_ = conn.Close()
	}
	return state
}

// refusingAddress returns an address at which no process listens. Its port stays taken, since
// another process may listen at a free one at any time.
func refusingAddress(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	is.NoErr(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(fd)
	is.NoErr(err)
	return fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
}

// Guards against a server that runs and counts as gone, and against the reverse.
func TestServer(t *testing.T) {
	is := is.New(t)
	is.Equal(probe(context.Background(), listen(t).Addr().String()), Accepting)
	is.Equal(probe(context.Background(), refusingAddress(t)), Refusing)
}

// Guards against a server that counts as running because the probe was ended.
func TestEndedProbeIsUnknown(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(EndingTime/3, cancel)
	is.Equal(probe(ctx, l.Addr().String()), Unknown)
	is.Equal(probe(ctx, l.Addr().String()), Unknown) // it has ended before
}

// fullListener returns the address of a listening socket whose queue is full, so that the
// kernel drops further attempts to connect.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// Guards against a server that counts as running although nothing is heard of it.
func TestSilentServerIsUnknown(t *testing.T) {
	is := is.New(t)
	address := fullListener(t)
	started := time.Now()
	is.Equal(probe(context.Background(), address), Unknown)
	is.True(time.Since(started) < Timeout+time.Second)
}

// Guards against an unknown state because one packet was lost: the first attempt gets no answer.
func TestLostAttemptIsRepeated(t *testing.T) {
	is := is.New(t)
	open, silent := dialer(listen(t).Addr().String()), dialer(fullListener(t))
	attempts := 0
	state, conn := Server(context.Background(), func(ctx context.Context) (net.Conn, error) {
		if attempts++; attempts == 1 {
			return silent(ctx)
		}
		return open(ctx)
	})
	is.Equal(state, Accepting)
	is.NoErr(conn.Close())
}

// Guards against an answer that was cut by the end of its server counting as whole, because
// the kernel closed its connection a moment before the listening socket.
func TestProcessThatEndsIsRefusing(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	time.AfterFunc(EndingTime/2, func() { _ = l.Close() }) // resets the connections that were not accepted
	is.Equal(probe(context.Background(), l.Addr().String()), Refusing)
}

// Guards against a server that counts as unknown because it has as many connections as it
// accepts, and resets further ones.
func TestServerWithoutFreeConnectionsIsAccepting(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	is.Equal(probe(context.Background(), l.Addr().String()), Accepting)
}

// pair returns both ends of a connection.
func pair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l := listen(t)
	opened, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = opened.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return opened.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against a reset connection that counts as ended in good order, and against the
// reverse, whatever its client reads and writes at that time.
func TestEndedInOrder(t *testing.T) {
	for _, c := range []struct {
		name  string
		write int // bytes that the client writes
		end   func(server *net.TCPConn)
		want  bool
	}{
		{"closed", 0, func(s *net.TCPConn) { _ = s.Close() }, true},
		{"closed after all was read", 100, func(s *net.TCPConn) {
			_, _ = s.Read(make([]byte, 100))
			_ = s.Close()
		}, true},
		{"closed with bytes unread", 100, func(s *net.TCPConn) { _ = s.Close() }, false},
		{"reset", 0, func(s *net.TCPConn) {
			_ = s.SetLinger(0)
			_ = s.Close()
		}, false},
		{"reset after its end", 100, func(s *net.TCPConn) {
			_ = s.CloseWrite()
			_ = s.Close()
		}, false},
		{"more than the kernel takes is unread", 64 << 20, func(s *net.TCPConn) { _ = s.CloseWrite() }, false},
		{"still open", 0, func(*net.TCPConn) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client, server := pair(t)
			_ = client.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			_, _ = client.Write(make([]byte, c.write)) // some cases do not read it
			c.end(server)
			time.Sleep(50 * time.Millisecond)
			is.Equal(EndedInOrder(client), c.want)
		})
	}
}
