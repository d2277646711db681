package enginehttp

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/backend"
	"camphorwick.dev/standin/rawanswer"
)

// engineOf returns a client of an engine that answers every call with the given bytes
// and closes its connection in good order.
func engineOf(t *testing.T, answer string) *Client {
	t.Helper()
	return New((&rawanswer.Server{Answer: answer}).StartFor(t))
}

// framings returns an answer with the given body, cut after n bytes of it, in each
// framing.
func framings(body string, n int) map[string]string {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	return map[string]string{
		"length":            fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body[:n]),
		"chunk":             fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, len(body), body[:n]),
		"no last chunk":     fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%s", head, chunkOf(body[:n])),
		"last chunk":        fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", head, chunkOf(body[:n])),
		"last chunk is cut": fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%s0\r\n", head, chunkOf(body[:n])),
		"unframed":          head + "\r\n" + body[:n],
	}
}

func chunkOf(s string) string {
	if s == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
}

// Guards against a stream that an engine breaks off and that ends like a complete
// one, whatever the framing and the byte at which it ends.
func TestCutStreamIsBroken(t *testing.T) {
	const body = "data: {\"texts\":[\"a\"]}\n\ndata: {\"texts\":[\"b\"],\"final\":true,\"finish_reason\":\"stop\"}\n\n"
	finalEvent := strings.LastIndex(body, "data: ")
	for n := range len(body) {
		for name, answer := range framings(body, n) {
			stream, err := engineOf(t, answer).Attach(context.Background(), "s", 0)
			if err != nil {
				t.Fatal(err)
			}
			texts, err := readTexts(stream)
			_ = stream.Close()
			var engineErr *backend.EngineError
			if !errors.As(err, &engineErr) || engineErr.Kind != backend.EngineBroken {
				t.Errorf("%s, %d bytes: texts %q, error %v", name, n, texts, err)
			}
			if n <= finalEvent && strings.Contains(texts, "b") {
				t.Errorf("%s, %d bytes: texts %q", name, n, texts)
			}
		}
	}
}

// readTexts reads a stream to its end. The error is nil if it ends with the final
// chunk.
func readTexts(stream backend.Stream) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var texts strings.Builder
	for {
		chunk, err := stream.Next(ctx)
		if err != nil {
			return texts.String(), err
		}
		texts.WriteString(strings.Join(chunk.Texts, ""))
		if chunk.Final {
			return texts.String(), nil
		}
	}
}

// Guards against an exported state that is cut and passes for the whole one: the
// engine that imports it would continue from a damaged cache.
func TestCutExportIsBroken(t *testing.T) {
	const state = "state of the engine"
	for n := range len(state) {
		for name, answer := range framings(state, n) {
			if name == "last chunk" {
				continue // the engine itself says that this is its whole answer
			}
			t.Run(fmt.Sprintf("%s, %d bytes", name, n), func(t *testing.T) {
				is := is.New(t)
				got, err := engineOf(t, answer).Export(context.Background(), "s")
				is.True(err != nil) // a cut state was accepted
				is.Equal(len(got), 0)
			})
		}
	}
}

// Guards against a large state with a length that is cut and passes for the whole
// one. The HTTP library reads the first 8 KiB of a body in another way than the rest.
func TestCutLargeExportIsBroken(t *testing.T) {
	state := strings.Repeat("state ", 10_000)
	for _, n := range []int{1, 8<<10 - 1, 8 << 10, 8<<10 + 1, 32 << 10, len(state) - 1} {
		for _, name := range []string{"length", "chunk"} {
			if _, err := engineOf(t, framings(state, n)[name]).Export(context.Background(), "s"); err == nil {
				t.Errorf("%s: %d of %d bytes were accepted", name, n, len(state))
			}
		}
	}
}

// Guards against an exported state without a byte that passes for a whole one: the
// stream that continues from it has neither a state nor a prompt.
func TestEmptyExportIsBroken(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"none":   "HTTP/1.1 204 No Content\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := engineOf(t, answer).Export(context.Background(), "s")
			var engineErr *backend.EngineError
			is.True(errors.As(err, &engineErr) && engineErr.Kind == backend.EngineBroken)
		})
	}
}

// Guards against an answer with an invalid status that counts as success: fasthttp reads 000
// as 200.
func TestAnswerWithAnInvalidStatusIsBroken(t *testing.T) {
	const body = "data: {\"texts\":[\"a\"],\"final\":true}\n\n"
	for _, status := range []string{"000", "099", "101"} {
		head := "HTTP/1.1 " + status + " X\r\nContent-Length: "
		_, err := engineOf(t, head+"2\r\n\r\n{}").Load(context.Background())
		if err == nil {
			t.Errorf("%s: the load of the engine was read", status)
		}
		stream, err := engineOf(t, fmt.Sprintf("%s%d\r\n\r\n%s", head, len(body), body)).Attach(context.Background(), "s", 0)
		if err == nil {
			texts, err := readTexts(stream)
			t.Errorf("%s: texts %q, error %v", status, texts, err)
			_ = stream.Close()
		}
	}
}
