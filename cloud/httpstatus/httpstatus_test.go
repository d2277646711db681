package httpstatus

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// chunkConn is a connection whose reads return given pieces.
type chunkConn struct {
	net.Conn
	pieces []string
}

func (c *chunkConn) Read(p []byte) (int, error) {
	if len(c.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.pieces[0])
	c.pieces[0] = c.pieces[0][n:]
	if c.pieces[0] == "" {
		c.pieces = c.pieces[1:]
	}
	return n, nil
}

func (*chunkConn) Write(p []byte) (int, error) { return len(p), nil }

// Guards against an invalid status that is overlooked, or a valid one that is refused, wherever
// reads cut the head.
func TestStatusOfAnAnswer(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nok"
	for text, want := range map[string]int{ // the refused status; -1 for none
		"HTTP/1.1 200 OK\r\n" + rest: -1, "HTTP/1.1 000 X\r\n" + rest: 0, "HTTP/1.1 099\r\n" + rest: 99, "HTTP/1.1 599 X\n" + rest: -1,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 X\r\n\r\n":               -1,
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 000 X\r\n" + rest: 0,
		"HTTP/1.1 101 X\r\n\r\n":                                            101,
		"\r\nHTTP/1.1 007 X\r\n" + rest:                                     7,
		"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 X\r\n\r\n":                     -1, // in a body
		"no answer\r\n" + rest:                                              -1,
		strings.Repeat("y", 500) + "\r\nHTTP/1.1 000\r\n":                   -1,
	} {
		rapid.Check(t, func(t *rapid.T) {
			var pieces []string
			for left := text; left != ""; {
				n := rapid.IntRange(1, len(left)).Draw(t, "bytes")
				pieces, left = append(pieces, left[:n]), left[n:]
			}
			got, err := io.ReadAll(NewConn(&chunkConn{pieces: pieces}))
			var invalid *Error
			switch {
			case want < 0 && (err != nil || string(got) != text):
				t.Fatalf("%q: read %q, error %v", text, got, err)
			case want >= 0 && (!errors.As(err, &invalid) || invalid.Status != want):
				t.Fatalf("%q: error %v", text, err)
			}
		})
	}
}

// Guards against the status of a second call on a connection that is not looked at.
func TestEachCallIsChecked(t *testing.T) {
	is := is.New(t)
	c := NewConn(&chunkConn{pieces: []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 000 X\r\n\r\n"}})
	buffer := make([]byte, 100)
	for _, valid := range []bool{true, false} {
		_, _ = c.Write([]byte("GET / HTTP/1.1\r\n"))
		_, _ = c.Write([]byte("\r\n"))
		_, err := c.Read(buffer)
		is.Equal(err == nil, valid)
	}
}
