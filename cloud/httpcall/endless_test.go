package httpcall

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"camphorwick.dev/standin/rawanswer"
)

// Guards against a server whose answer has no end being read into memory until the process
// runs out of it.
func TestEndlessAnswerIsGivenUp(t *testing.T) {
	cases := rawanswer.EndlessHeads()
	cases["body with chunks"] = &rawanswer.Server{Answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Endless: "4\r\naaaa\r\n"}
	cases["body without a length"] = &rawanswer.Server{Answer: "HTTP/1.1 200 OK\r\n\r\n", Endless: "a"}
	cases["trailer"] = &rawanswer.Server{Answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", Endless: "a"}
	for name, server := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := New(Options{Address: server.StartFor(t), MaxResponseBytes: 1 << 20})
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			var request fasthttp.Request
			var response fasthttp.Response
			request.SetRequestURI("http://server/x")
			is.True(c.Do(ctx, &request, &response) != nil)
			time.Sleep(50 * time.Millisecond) // the server notices the close
			is.True(server.Written() < rawanswer.OfferedBytes/8)
		})
	}
}
