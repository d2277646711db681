package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// offered is how much an endless answer of a test has, in bytes, and maxTaken how much of
// it may be taken, with the buffers of the two sockets.
const (
	offered  = 192 << 20
	maxTaken = 16 << 20
)

// endless answers with head, and then with part again and again until the connection is
// closed or offered bytes are written. It counts the bytes written.
func endless(head, part string, written *atomic.Int64) script {
	return func(_ int, c net.Conn, br *bufio.Reader) {
		if _, _, err := readRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, head)
		block := []byte(strings.Repeat(part, 1+(64<<10)/len(part)))
		for written.Load() < offered {
			n, err := c.Write(block)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

// Guards against a server whose head has no end being read into memory until the process
// runs out of it.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for _, c := range []struct{ name, head, part string }{
		{"no status line", "", "x"},
		{"one long field", "HTTP/1.1 200 OK\r\nX: ", "y"},
		{"many fields", "HTTP/1.1 200 OK\r\n", "X-Some-Field: y\r\n"},
		{"a continued field", "HTTP/1.1 200 OK\r\nX: y\r\n", " y\r\n"},
		{"an interim head with one long field", "HTTP/1.1 103 Early Hints\r\nX: ", "y"},
		{"interim heads", "", "HTTP/1.1 103 Early Hints\r\nX: " + strings.Repeat("y", 30_000) + "\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var written atomic.Int64
			address, _ := serve(t, endless(c.head, c.part, &written))
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			begun := time.Now()
			_, err := New().Do(ctx, address, get("1"))
			var failed *Error
			is.True(errors.As(err, &failed))
			is.True(failed.Sent)
			is.True(errors.Is(err, errHeadTooLong))
			is.True(time.Since(begun) < 5*time.Second)
			time.Sleep(50 * time.Millisecond) // the server notices the close
			is.True(written.Load() < maxTaken)
		})
	}
}

// Guards against the limit of a head counting the body or the heads of earlier answers.
func TestLimitOfTheHeadIsPerAnswer(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("b", 3*maxHeadBytes)
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nX: " + strings.Repeat("y", maxHeadBytes/2) + "\r\nContent-Length: 196608\r\n\r\n"
	address, connections := serve(t, answering(head+body))
	c := New()
	for range 5 {
		got, err := fetch(c, address, get("1"))
		is.NoErr(err)
		is.Equal(got, body)
	}
	is.Equal(connections.Load(), int32(1))
}
