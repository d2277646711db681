package upstream

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"camphorwick.dev/cloud/tcpprobe"
)

// Framing is how an answer marks the end of its body.
type Framing string

// The framings of HTTP/1.1.
const (
	// FramedByLength is a body whose length is stated or follows from the status.
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose is a body that ends with its connection.
	FramedByClose Framing = "close"
)

// framingOf returns the framing of an answer.
func framingOf(answer *http.Response) Framing {
	switch {
	case len(answer.TransferEncoding) > 0:
		return FramedByChunks
	case answer.ContentLength >= 0, answer.Request.Method == http.MethodHead:
		return FramedByLength
	}
	return FramedByClose
}

// Response is the answer of a server. Close must be called.
type Response struct {
	Status  int
	Header  http.Header
	Framing Framing
	Body    io.Reader

	client    *Client
	conn      *conn
	answer    *http.Response
	body      bodyReader  // Body
	written   chan error  // holds the result of a write in the background; nil if there is none
	stop      func() bool // keeps the context of the request from closing conn; false if it has ended
	closeOnce sync.Once
}

// bodyReader reads a body and records whether its end was reached, which the end of
// a reader with a limit does not show.
type bodyReader struct {
	from  io.Reader
	ended bool
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// Close keeps the connection for further requests if reuse is set, the answer was
// read to its end, and the connection can be used again. Otherwise it closes the
// connection.
func (r *Response) Close(reuse bool) {
	r.closeOnce.Do(func() {
		stillOpen := r.stop()
		if !reuse || !r.body.ended || !stillOpen || r.answer.Close || r.conn.br.Buffered() > 0 || !r.requestWritten() {
			_ = r.conn.Close()
			return
		}
		r.conn.kept = true
		r.client.putIdle(r.conn, r.answer.Header)
	})
}

// Discard reads the rest of the body, at most limit bytes of it and no longer than
// wait. It reports whether the answer was read to its end.
func (r *Response) Discard(limit int64, wait time.Duration) bool {
	_ = r.conn.SetReadDeadline(time.Now().Add(wait)) // fails if the connection is closed, as the read then does
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, limit))
	_ = r.conn.SetReadDeadline(time.Time{})
	return r.body.ended
}

// EndedInOrder reports whether the server has closed the connection in good order after it had
// received the complete request. It must be called after the end of the body was read and
// before Close.
func (r *Response) EndedInOrder() bool {
	return r.requestWritten() && tcpprobe.EndedInOrder(r.conn.Conn)
}

// requestWritten reports whether the complete request was written.
func (r *Response) requestWritten() bool {
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		r.written <- err // for the next call
		return err == nil
	default:
		return false
	}
}
