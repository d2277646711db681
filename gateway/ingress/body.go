package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"camphorwick.dev/policy/footprint"
)

const (
	// firstBodyBuffer is the buffer of a body whose length is not stated. It doubles while
	// the body goes on.
	firstBodyBuffer = 16 << 10
	// bodyMemoryRetryAfter is the Retry-After while the memory for bodies is taken.
	bodyMemoryRetryAfter = time.Second
	// bodyRoomWait is how long a body waits for memory that another request is about to
	// return, asking for it every bodyRoomPoll.
	bodyRoomWait = 300 * time.Millisecond
	bodyRoomPoll = 10 * time.Millisecond
	// restTime is how long the rest of the body of a refused request is read. A caller that
	// sends all of it before it reads the answer would lose the answer otherwise.
	restTime = 2 * time.Second
)

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
		x.bodyRead = true
		return true
	}
	// net/http clears the deadline at the end of the body.
	x.setReadDeadline(x.deadline)
	stop := context.AfterFunc(x.g.requests, x.stopReading)
	defer stop()
	from := http.MaxBytesReader(x.w, x.r.Body, limit)
	x.holder.Enter(footprint.Body, x.stopReading, time.Now())
	x.bodyBegun = true
	err := x.receiveBody(from, x.r.ContentLength)
	x.holder.Enter(footprint.Busy, nil, time.Now())
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		x.bodyRead = true
		return true
	case errors.As(err, &tooLarge):
		x.releaseBody()
		x.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	case errors.Is(err, errBodyMemory), x.holder.Ended():
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

// refuseBody refuses a request for want of memory for its body, and then drops the rest of the
// body: the kernel resets a connection that is closed with unread data, which loses the answer.
func (x *exchange) refuseBody(rest io.Reader) {
	x.releaseBody()
	x.refuse(http.StatusServiceUnavailable, reasonBodyMemory, bodyMemoryRetryAfter)
	if _, err := io.Copy(io.Discard, rest); err != nil {
		x.log.Debug("body of a refused request not read", "error", err.Error())
	}
}

// limitRest limits how long net/http reads the body of a request that is refused before its
// body was read, and lets others have the connection meanwhile. net/http reads it before it
// writes the answer, and closes the connection if the body does not end in time.
func (x *exchange) limitRest() {
	x.setReadDeadline(time.Now().Add(restTime))
	x.holder.Enter(footprint.Refused, x.stopReading, time.Now())
}

// respondBesideBody is respond for a request of whose body a part was read: the answer goes
// out at once, although its caller may still send. The rest must not be read as another
// request, so the connection is closed.
func (x *exchange) respondBesideBody(status int, reason string) {
	controller := http.NewResponseController(x.w)
	if err := controller.EnableFullDuplex(); err != nil {
		x.log.Debug("body not read beside the answer", "error", err.Error())
	}
	x.w.Header().Set("Connection", "close")
	x.respond(status, reason)
	if err := controller.Flush(); err != nil {
		x.log.Debug("refusal not flushed", "error", err.Error())
	}
	if x.aborted() || x.holder.Ended() {
		return
	}
	x.limitRest()
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
	room, ok := x.takeRoom(size)
	if !ok {
		return errBodyMemory
	}
	old := x.bodyRoom
	x.bodyRoom = room
	x.body = append(make([]byte, 0, size), x.body...)
	old.Return()
	return nil
}

// takeRoom takes memory. It waits for that which another request is about to return.
func (x *exchange) takeRoom(size int64) (footprint.Room, bool) {
	for end := time.Now().Add(bodyRoomWait); ; time.Sleep(bodyRoomPoll) {
		room, ok, coming := x.holder.Take(size, time.Now())
		if ok || !coming || time.Now().After(end) {
			return room, ok
		}
	}
}

// releaseBody gives the memory of the body back, at the latest at the end of the request. The
// connection may refer to the exchange for longer, so the body is dropped as well.
func (x *exchange) releaseBody() {
	x.body = nil
	x.bodyRoom.Return()
	x.bodyRoom = footprint.Room{}
}

// stopReading ends a read of the body.
func (x *exchange) stopReading() { x.setReadDeadline(time.Now()) }

func (x *exchange) setReadDeadline(t time.Time) {
	if err := http.NewResponseController(x.w).SetReadDeadline(t); err != nil {
		x.log.Debug("deadline of the body not set", "error", err.Error())
	}
}
