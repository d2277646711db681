package enginesim

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// StateBytesHeader is the request header with the length of the exported
// state that precedes the prompt in the body of a start.
const StateBytesHeader = "Engine-State-Bytes"

const (
	maxBodyBytes = 256 << 20 // a prompt and an exported state
	// commentInterval is the time between comments on an idle stream. A write
	// error of a comment reveals a lost connection.
	commentInterval = time.Second
	// shutdownTimeout bounds the wait for open connections in Shutdown.
	shutdownTimeout = 500 * time.Millisecond
)

// Server serves an Engine over HTTP, and its faults and statistics on a second
// listener. docs/protocols/engine.md describes the protocol.
type Server struct {
	engine *Engine
	calls  fasthttp.Server
	faults fasthttp.Server
	ctx    context.Context
	cancel context.CancelFunc
}

// NewServer returns a server for an engine.
func NewServer(e *Engine) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{engine: e, ctx: ctx, cancel: cancel}
	// Broken connections are part of the tests, so they are not logged.
	discardLog := log.New(io.Discard, "", 0)
	s.calls = fasthttp.Server{
		Handler: s.handle, Name: "standin-engine", MaxRequestBodySize: maxBodyBytes, Logger: discardLog,
	}
	s.faults = fasthttp.Server{Handler: s.handleFaults, Name: "standin-engine", Logger: discardLog}
	return s
}

// Serve answers engine calls until Shutdown. Errors are those of the listener.
func (s *Server) Serve(l net.Listener) error {
	if err := s.calls.Serve(l); err != nil {
		return fmt.Errorf("serve engine calls: %w", err)
	}
	return nil
}

// ServeFaults answers /faults and /stats until Shutdown. Errors are those of
// the listener.
func (s *Server) ServeFaults(l net.Listener) error {
	if err := s.faults.Serve(l); err != nil {
		return fmt.Errorf("serve faults: %w", err)
	}
	return nil
}

// Shutdown breaks the streams and stops both listeners. It does not close the
// engine. Errors are those of the connections that did not close in time.
func (s *Server) Shutdown() error {
	s.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := errors.Join(s.calls.ShutdownWithContext(ctx), s.faults.ShutdownWithContext(ctx)); err != nil {
		return fmt.Errorf("stop server: %w", err)
	}
	return nil
}

// handle routes one engine call.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.engine.WaitResumed(s.ctx) != nil {
		_ = ctx.Conn().Close() // any answer would report the call as done
		return
	}
	switch route := string(ctx.Method()) + " " + string(ctx.Path()); route {
	case "GET /v1/info":
		reply(ctx, s.engine.Info(), nil)
	case "POST /v1/streams":
		s.start(ctx)
	case "GET /v1/streams":
		reply(ctx, s.engine.Streams(), nil)
	case "GET /v1/stream":
		s.resume(ctx)
	case "DELETE /v1/stream":
		s.engine.Cancel(queryParam(ctx, "id"))
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case "POST /v1/export":
		s.export(ctx)
	case "GET /v1/load":
		reply(ctx, s.engine.Load(), nil)
	case "GET /v1/events":
		s.events(ctx)
	case "POST /v1/orders":
		s.command(ctx)
	default:
		reply(ctx, nil, notFoundf("no such call: %s", route))
	}
}

func (s *Server) start(ctx *fasthttp.RequestCtx) {
	r, err := parseStart(ctx)
	if err != nil {
		reply(ctx, nil, err)
		return
	}
	attachment, err := s.engine.Start(r)
	ctx.Request.ResetBody() // frees the prompt of up to 4 MB while the stream runs
	if err != nil {
		reply(ctx, nil, err)
		return
	}
	s.sendStream(ctx, attachment)
}

// parseStart reads a start. Prompt and State alias the body of the request.
func parseStart(ctx *fasthttp.RequestCtx) (Request, error) {
	r := Request{StreamID: queryParam(ctx, "id"), Model: queryParam(ctx, "model")}
	var err error
	if r.MaxTokens, err = queryInt(ctx, "max_tokens"); err != nil {
		return r, err
	}
	if r.Priority, err = queryInt(ctx, "priority"); err != nil {
		return r, err
	}
	r.PrefillOnly = queryParam(ctx, "prefill_only") == "true"
	body := ctx.PostBody()
	stateBytes := 0
	if h := string(ctx.Request.Header.Peek(StateBytesHeader)); h != "" {
		stateBytes, err = strconv.Atoi(h)
		if err != nil || stateBytes < 0 || stateBytes > len(body) {
			return r, refusedf("header %s is %q, the body has %d bytes", StateBytesHeader, h, len(body))
		}
	}
	r.State, r.Prompt = body[:stateBytes], body[stateBytes:]
	return r, nil
}

func (s *Server) resume(ctx *fasthttp.RequestCtx) {
	offset, err := queryInt(ctx, "offset")
	if err != nil {
		reply(ctx, nil, err)
		return
	}
	attachment, err := s.engine.Attach(queryParam(ctx, "id"), offset)
	if err != nil {
		reply(ctx, nil, err)
		return
	}
	s.sendStream(ctx, attachment)
}

// sendStream writes a stream as server-sent events.
func (s *Server) sendStream(ctx *fasthttp.RequestCtx, attachment *Stream) {
	conn := ctx.Conn()
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		err := s.writeEvents(w, attachment)
		failure := (*Error)(nil)
		switch {
		case !errors.As(err, &failure):
		case failure.Kind == KindNotFound:
			err = writeFailure(w, failure)
		case failure.Kind == KindBroken && attachment.Offset()%2 == 1: // half of the streams break inside an event
			_, _ = w.WriteString(partOfEvent)
			_ = w.Flush()
		}
		if err != nil {
			attachment.Detach()
			_ = conn.Close() // the caller must not see a complete body
		}
	})
}

// partOfEvent is what a broken stream may end with.
const partOfEvent = "id: 1\ndata: {\"texts\":[\"wrong\"],"

// writeEvents writes a stream to its end. It returns an error if the caller has
// not received the complete stream.
func (s *Server) writeEvents(w *bufio.Writer, attachment *Stream) error {
	for {
		chunk, err := s.nextChunk(attachment, w)
		if err != nil {
			return err
		}
		if err := s.engine.WaitResumed(s.ctx); err != nil {
			return err
		}
		if err := writeEvent(w, attachment.Offset(), chunk); err != nil {
			return err
		}
		if chunk.Final {
			attachment.Delivered()
			return nil
		}
	}
}

// nextChunk waits for a chunk and writes comments meanwhile.
func (s *Server) nextChunk(attachment *Stream, w *bufio.Writer) (Chunk, error) {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, commentInterval)
		chunk, err := attachment.Next(ctx)
		cancel()
		if s.ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return chunk, err
		}
		if err := s.engine.WaitResumed(s.ctx); err != nil {
			return Chunk{}, err
		}
		_, _ = w.WriteString(": waiting\n\n") // Flush returns the error
		if err := w.Flush(); err != nil {
			return Chunk{}, fmt.Errorf("write comment: %w", err)
		}
	}
}

// writeEvent writes a chunk; the event id is the number of tokens sent.
func writeEvent(w *bufio.Writer, offset int, chunk Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return fmt.Errorf("encode chunk: %w", err)
	}
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write chunk: %w", err)
	}
	return nil
}

// writeFailure ends a stream that was cancelled or exported.
func writeFailure(w *bufio.Writer, failure *Error) error {
	data, err := json.Marshal(map[string]*Error{"error": failure})
	if err != nil {
		return fmt.Errorf("encode failure: %w", err)
	}
	fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write failure: %w", err)
	}
	return nil
}

func (s *Server) export(ctx *fasthttp.RequestCtx) {
	state, err := s.engine.Export(queryParam(ctx, "id"))
	if err != nil {
		reply(ctx, nil, err)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.Response.SetBodyRaw(state)
}

func (s *Server) events(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(queryParam(ctx, "after"), 10, 64)
	if err != nil {
		reply(ctx, nil, refusedf("parameter after: %v", err))
		return
	}
	reply(ctx, s.engine.Events(after), nil)
}

func (s *Server) command(ctx *fasthttp.RequestCtx) {
	var c Command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		reply(ctx, nil, refusedf("order: %v", err))
		return
	}
	reply(ctx, struct{}{}, s.engine.Command(c))
}

// handleFaults routes one call for faults or statistics.
func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	switch route := string(ctx.Method()) + " " + string(ctx.Path()); route {
	case "GET /stats":
		reply(ctx, s.engine.Stats(), nil)
	case "GET /faults":
		faults, err := s.engine.Inject(FaultChange{})
		reply(ctx, faults, err)
	case "POST /faults":
		var change FaultChange
		if err := json.Unmarshal(ctx.PostBody(), &change); err != nil {
			reply(ctx, nil, refusedf("faults: %v", err))
			return
		}
		faults, err := s.engine.Inject(change)
		reply(ctx, faults, err)
	default:
		reply(ctx, nil, notFoundf("no such call: %s", route))
	}
}

// reply writes value, or err as {"error":{"kind","message"}}.
func reply(ctx *fasthttp.RequestCtx, value any, err error) {
	if err != nil {
		var failure *Error
		if !errors.As(err, &failure) {
			failure = refusedf("%v", err)
		}
		ctx.SetStatusCode(status(failure.Kind))
		value = map[string]*Error{"error": failure}
	}
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func status(k Kind) int {
	switch k {
	case KindFenced:
		return fasthttp.StatusConflict
	case KindNotFound:
		return fasthttp.StatusNotFound
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

func queryParam(ctx *fasthttp.RequestCtx, name string) string {
	return string(ctx.QueryArgs().Peek(name))
}

// queryInt returns 0 for a missing parameter.
func queryInt(ctx *fasthttp.RequestCtx, name string) (int, error) {
	text := queryParam(ctx, name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, refusedf("parameter %s: %v", name, err)
	}
	return n, nil
}
