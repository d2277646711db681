package enginehttp

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/backend"
	"camphorwick.dev/standin/rawanswer"
)

// Guards against an engine whose answer has no end being read into memory until the
// process runs out of it.
func TestEndlessAnswerIsGivenUp(t *testing.T) {
	cases := rawanswer.EndlessHeads()
	cases["body with chunks"] = &rawanswer.Server{Answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Endless: "4\r\naaaa\r\n"}
	cases["body without a length"] = &rawanswer.Server{Answer: "HTTP/1.1 200 OK\r\n\r\n{\"models\":[\"", Endless: "a"}
	cases["body of a failure"] = &rawanswer.Server{Answer: "HTTP/1.1 500 Error\r\n\r\n", Endless: "a"}
	for name, server := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			_, err := New(server.StartFor(t)).Info(ctx)
			var engineErr *backend.EngineError
			is.True(errors.As(err, &engineErr))
			time.Sleep(50 * time.Millisecond) // the engine notices the close
			is.True(server.Written() < 3*maxAnswerBytes)
		})
	}
}
