package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// firstBodyBuffer is the buffer of a body whose length is not stated. It doubles while
	// the body goes on.
	firstBodyBuffer = 16 << 10
	// bodyMemoryRetryAfter is the Retry-After while the memory for bodies is taken.
	bodyMemoryRetryAfter = time.Second
)

// bodyMemory bounds the memory of the bodies of all requests in flight, which are kept until
// their ends because a request may be sent to a second server.
type bodyMemory struct {
	limit int64 // bytes; 0 for no limit
	taken atomic.Int64
}

// take reserves n bytes. It returns false, and reserves none, if that exceeds the limit.
func (m *bodyMemory) take(n int64) bool {
	if taken := m.taken.Add(n); m.limit > 0 && taken > m.limit {
		m.taken.Add(-n)
		return false
	}
	return true
}

func (m *bodyMemory) release(n int64) { m.taken.Add(-n) }

// errBodyMemory means that there is no memory for the body of a request.
var errBodyMemory = errors.New("the memory for request bodies is taken")

// readBody reads the body of the request. It returns false if it has refused the request.
func (x *exchange) readBody() bool {
	limit := int64(x.table.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	}
	if x.r.ContentLength == 0 {
		return true
	}
	// net/http clears the deadline at the end of the body.
	if err := http.NewResponseController(x.w).SetReadDeadline(x.deadline); err != nil {
		x.log.Warn("deadline of the body not set", "error", err.Error())
	}
	stop := context.AfterFunc(x.g.requests, x.stopReading)
	defer stop()
	from := http.MaxBytesReader(x.w, x.r.Body, limit)
	err := x.receiveBody(from, x.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	case errors.Is(err, errBodyMemory):
		x.refuseBody(from)
	case x.aborted():
		x.refuse(http.StatusServiceUnavailable, reasonStopping, stoppingRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(http.StatusServiceUnavailable, reasonTimeout, 0)
	default:
		x.refuse(http.StatusBadRequest, "body_unreadable", 0)
	}
	return false
}

// refuseBody refuses a request at once, for want of memory for its body, and then drops the
// rest of the body: many callers read the answer only when they have sent all of it, and the
// kernel resets a connection that is closed with unread data, which loses the answer.
func (x *exchange) refuseBody(rest io.Reader) {
	x.releaseBody()
	x.body = nil
	controller := http.NewResponseController(x.w)
	if err := controller.EnableFullDuplex(); err != nil {
		x.log.Debug("body not read beside the answer", "error", err.Error())
	}
	x.refuse(http.StatusServiceUnavailable, reasonBodyMemory, bodyMemoryRetryAfter)
	if err := controller.Flush(); err != nil {
		x.log.Debug("refusal not flushed", "error", err.Error())
		return
	}
	if _, err := io.Copy(io.Discard, rest); err != nil {
		x.log.Debug("body of a refused request not read", "error", err.Error())
	}
}

// receiveBody reads a body of a stated length, or of none (-1), within the memory for bodies.
func (x *exchange) receiveBody(from io.Reader, length int64) error {
	size := length
	if size < 0 {
		size = firstBodyBuffer
	}
	if err := x.growBody(size); err != nil {
		return err
	}
	for {
		if len(x.body) == cap(x.body) && length < 0 {
			if err := x.growBody(2 * int64(cap(x.body))); err != nil {
				return err
			}
		}
		n, err := from.Read(x.body[len(x.body):cap(x.body)])
		x.body = x.body[:len(x.body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case int64(len(x.body)) == length:
			return nil
		}
	}
}

// growBody moves the body into a buffer of a size. Both buffers count until the old one is
// dropped.
func (x *exchange) growBody(size int64) error {
	if !x.g.bodies.take(size) {
		return errBodyMemory
	}
	old := x.bodyTaken
	x.bodyTaken = size
	x.body = append(make([]byte, 0, size), x.body...)
	x.g.bodies.release(old)
	return nil
}

// releaseBody gives the memory of the body back at the end of the request.
func (x *exchange) releaseBody() {
	x.g.bodies.release(x.bodyTaken)
	x.bodyTaken = 0
}

// stopReading ends a read of the body.
func (x *exchange) stopReading() {
	if err := http.NewResponseController(x.w).SetReadDeadline(time.Now()); err != nil {
		x.log.Debug("read of the body not ended", "error", err.Error())
	}
}
