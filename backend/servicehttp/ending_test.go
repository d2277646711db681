package servicehttp

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"camphorwick.dev/cloud/tcpprobe"
	"camphorwick.dev/standin/faults"
	"camphorwick.dev/standin/ordersim"
	"camphorwick.dev/standin/rawanswer"
)

// serviceOf returns a client of a service that gives the same answer to every call.
func serviceOf(t *testing.T, server *rawanswer.Server) *Service {
	t.Helper()
	s := New(Options{Address: server.StartFor(t)})
	t.Cleanup(s.Close)
	return s
}

// Guards against a part of an order's answer that is recorded as the whole one,
// and against such an order that is reported as not sent, whatever the framing and
// the byte at which the answer ends.
func TestCutAnswerIsNoReply(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", "order 7 is booked"
	unframed := head + "\r\n" + body
	for name, c := range map[string]struct {
		whole string
		from  int // first byte that may be missing
		reset bool
	}{
		"length":                 {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), 0, false},
		"chunks":                 {fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body), 0, false},
		"unframed, in the head":  {unframed[:len(unframed)-len(body)], 0, false},
		"unframed, reset":        {unframed + " ", len(head) + 2, true},
		"interim answer, length": {"HTTP/1.1 100 Continue\r\n\r\n" + fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			for n := c.from; n < len(c.whole); n++ {
				reply, err := serviceOf(t, &rawanswer.Server{Answer: c.whole[:n], Reset: c.reset}).Call(context.Background(), order)
				if err == nil {
					t.Errorf("%d bytes: reply %d %q", n, reply.Status, reply.Body)
				} else if notSent(t, err) {
					t.Errorf("%d bytes: not sent: %v", n, err)
				}
			}
		})
	}
}

// Guards against a client that reuses the connection of an answer without a length,
// or keeps a part of it for the next call.
func TestCallsAfterUnframedAnswers(t *testing.T) { checkReplies(t, faults.Unframed) }

// Guards against an order that gets the answer to the order before it, which the
// service sends once more when it has the next order on the connection.
func TestSecondAnswerIsNotForTheNextOrder(t *testing.T) { checkReplies(t, faults.SecondAnswer) }

// checkReplies checks that each of four orders runs and gets its own reply, though the
// service answers the first two with a fault.
func checkReplies(t *testing.T, fault faults.Kind) {
	t.Helper()
	is, ctx := is.New(t), context.Background()
	address, runs := start(t, withRules(faults.Rule{Fault: fault, Count: 2}))
	s := New(Options{Address: address})
	defer s.Close()
	for n := range 4 {
		call := order
		call.OrderKey, call.Path = fmt.Sprint(n), fmt.Sprintf("/%d", n)
		reply, err := s.Call(ctx, call)
		is.NoErr(err)
		var result ordersim.Result
		is.NoErr(json.Unmarshal(reply.Body, &result))
		is.Equal(result.Path, call.Path)
		is.Equal(runs().Keys[call.OrderKey], 1)
	}
}

// Guards against an answer without a length that is refused although its connection
// was closed in good order, which is how such an answer ends.
func TestUnframedAnswerIsAReply(t *testing.T) {
	is := is.New(t)
	reply, err := serviceOf(t, &rawanswer.Server{Answer: "HTTP/1.1 200 OK\r\n\r\nbooked"}).Call(context.Background(), order)
	is.NoErr(err)
	is.Equal(string(reply.Body), "booked")
}

// Guards against a part of an answer without a length that is recorded as the whole
// one: the service crashed, and the kernel closed its connection in good order.
func TestCrashInAnUnframedAnswerIsNoReply(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\n\r\nboo"
	for name, server := range map[string]*rawanswer.Server{
		"port closed first": {Answer: part, Crash: true},
		"port closed last":  {Answer: part, Crash: true, CloseDelay: tcpprobe.EndingTime / 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := serviceOf(t, server).Call(context.Background(), order)
			is.True(err != nil)
			is.True(!notSent(t, err))
		})
	}
}

// Guards against a part of an answer without a length that is recorded as the whole one,
// although it is not known whether the service has ended.
func TestUnframedAnswerOfAnUnknownServiceIsNoReply(t *testing.T) {
	is := is.New(t)
	_, err := serviceOf(t, &rawanswer.Server{Answer: "HTTP/1.1 200 OK\r\n\r\nboo", Silent: true}).Call(context.Background(), order)
	is.True(err != nil)
	is.True(!notSent(t, err))
}

// Guards against a part of an answer without a length that is recorded as the whole one: the
// service answered a long order early and reset the connection, and the write took the error.
func TestEarlyAnswerToALongOrderIsNoReply(t *testing.T) {
	long := order
	long.Body = make([]byte, 900_000)
	for name, server := range map[string]*rawanswer.Server{
		"closed": {Answer: "HTTP/1.1 200 OK\r\n\r\nboo", Early: true},
		"reset":  {Answer: "HTTP/1.1 200 OK\r\n\r\nboo", Early: true, Reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := serviceOf(t, server)
			for range 100 { // the write and the reset race each other
				reply, err := s.Call(context.Background(), long)
				if err == nil {
					t.Errorf("reply %d %q", reply.Status, reply.Body)
				} else if notSent(t, err) {
					t.Errorf("not sent: %v", err)
				}
			}
		})
	}
}

// Guards against a reply to a long order that is refused although the service has read it.
func TestAnswerToALongOrderIsAReply(t *testing.T) {
	is := is.New(t)
	long := order
	long.Body = make([]byte, 900_000)
	for range 5 {
		reply, err := serviceOf(t, &rawanswer.Server{Answer: "HTTP/1.1 200 OK\r\n\r\nbooked"}).Call(context.Background(), long)
		is.NoErr(err)
		is.Equal(string(reply.Body), "booked")
	}
}

// Guards against an invalid answer that is recorded as the reply to an order.
func TestAnswerWithAnInvalidStatusIsNoReply(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 101 X\r\n", "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 000 X\r\n"} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			_, err := serviceOf(t, &rawanswer.Server{Answer: head + "Content-Length: 6\r\n\r\nbooked"}).Call(context.Background(), order)
			is.True(err != nil)
			is.True(!notSent(t, err))
		})
	}
}
