package entry

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/policy/footprint"
)

const (
	// bodyMemoryShare is the share of the VM's memory for the bodies of requests, and
	// smallBodyShare that for small ones alone. A body is copied up to three times on its
	// way to an agent.
	bodyMemoryShare = 0.15
	smallBodyShare  = 0.05
	// maxAdminConnections bounds the connections of operators.
	maxAdminConnections = 128
	// firstBodyBuffer is the buffer of a body whose length is not stated. It doubles while
	// the body goes on.
	firstBodyBuffer = 16 << 10
	// bodyRoomWait is how long a body waits for memory that another request is about to
	// return, asking for it every bodyRoomPoll.
	bodyRoomWait = 300 * time.Millisecond
	bodyRoomPoll = 10 * time.Millisecond
	// bodyRetryAfter is the Retry-After while the memory for bodies is taken.
	bodyRetryAfter = time.Second
)

// bodyRoom is the memory of a request's body, until the request ends.
type bodyRoom struct {
	holder *footprint.Holder // of the connection
	room   footprint.Room
}

// holderOf returns what the connection of a request holds; nil if it is not bounded.
func holderOf(c *fasthttp.RequestCtx) *footprint.Holder {
	if conn, ok := c.Conn().(*callerConn); ok {
		return conn.holder
	}
	return nil
}

// enterStage records what the connection of a request waits for, and what ends it.
func enterStage(c *fasthttp.RequestCtx, stage footprint.Stage, end func()) {
	holderOf(c).Enter(stage, end, time.Now())
}

// errBodyTooLong is the cause of the error of a body that exceeds the limit.
var errBodyTooLong = errors.New("body too long")

// read reads a request body of at most limit bytes. Errors are *outcome.Error.
func (b *bodyRoom) read(c *fasthttp.RequestCtx, limit int) error {
	stream := c.RequestBodyStream()
	if stream == nil {
		return nil
	}
	enterStage(c, footprint.Body, func() { _ = c.Conn().SetReadDeadline(time.Now()) })
	defer enterStage(c, footprint.Busy, nil)
	stated := c.Request.Header.ContentLength() // negative in chunks
	if stated > limit {
		return outcome.Wrap(errBodyTooLong, outcome.InvalidRequest, "the body exceeds %d bytes", limit)
	}
	body, err := b.receive(stream, stated, limit)
	switch {
	case err != nil && b.holder.Ended():
		return noRoom()
	case err != nil:
		return err
	case len(body) < stated: // fasthttp reports the end of the connection as that of the body
		return outcome.New(outcome.InvalidRequest, "the body ends after %d of %d bytes", len(body), stated)
	}
	_ = c.Request.CloseBodyStream()
	c.Request.SetBodyRaw(body)
	return nil
}

// receive reads a body of a stated length, or of none (below 0).
func (b *bodyRoom) receive(stream io.Reader, stated, limit int) ([]byte, error) {
	size := stated
	if size < 0 {
		size = min(firstBodyBuffer, limit)
	}
	body, err := b.grow(nil, size)
	for err == nil {
		if len(body) == cap(body) {
			if len(body) == stated {
				return body, nil
			}
			if len(body) > limit {
				return nil, outcome.Wrap(errBodyTooLong, outcome.InvalidRequest, "the body exceeds %d bytes", limit)
			}
			if body, err = b.grow(body, min(2*cap(body), limit+1)); err != nil {
				break
			}
		}
		n, readErr := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(readErr, io.EOF) {
			return body, nil
		}
		err = bodyError(readErr)
	}
	return nil, err
}

// grow moves a body into a buffer of a size. Both buffers count until the old one is dropped.
func (b *bodyRoom) grow(body []byte, size int) ([]byte, error) {
	for end := time.Now().Add(bodyRoomWait); ; time.Sleep(bodyRoomPoll) {
		room, ok, coming := b.holder.Take(int64(size), time.Now())
		if ok {
			old := b.room
			b.room = room
			old.Return()
			return append(make([]byte, 0, size), body...), nil
		}
		if !coming || time.Now().After(end) {
			return nil, noRoom()
		}
	}
}

func noRoom() error {
	return outcome.New(outcome.Overloaded, "there is no memory for the body of the request").WithRetryAfter(bodyRetryAfter)
}

// release gives the memory of the body back.
func (b *bodyRoom) release() {
	b.room.Return()
	b.room = footprint.Room{}
}

// bodyError returns the error of a request whose body could not be read, nil without one.
func bodyError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.Wrap(err, outcome.DeadlineExceeded, "the body did not arrive in time")
	}
	return outcome.Wrap(err, outcome.InvalidRequest, "the body cannot be read")
}
