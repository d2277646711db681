package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"camphorwick.dev/backend"
)

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 4 << 20

// stream reads server-sent events in its own goroutine, so that Next can return
// at the end of its context in the middle of an event without losing it.
type stream struct {
	client    *Client
	id        string
	exchange  *exchange
	items     chan item     // unbuffered; closed when the reader ends
	closed    chan struct{} // closed by Close
	closeOnce sync.Once
	closeErr  error

	mu    sync.Mutex // guards ended and err
	ended bool       // the final chunk was returned
	err   error      // returned by Next after the reader has ended
}

// item is a chunk, or the error that ends a stream.
type item struct {
	chunk backend.Chunk
	err   error
}

// chunkEvent is the data of an event. Error is set on the last event of a
// stream that was cancelled or exported.
type chunkEvent struct {
	Error        *errorBody `json:"error"`
	Texts        []string   `json:"texts"`
	Final        bool       `json:"final"`
	FinishReason string     `json:"finish_reason"`
	PromptTokens int        `json:"prompt_tokens"`
	CachedTokens int        `json:"cached_tokens"`
}

func newStream(c *Client, id string, x *exchange) *stream {
	s := &stream{client: c, id: id, exchange: x, items: make(chan item), closed: make(chan struct{})}
	go s.readEvents()
	return s
}

// readEvents delivers events until the final chunk, an error or Close. An event
// counts only once its empty line has arrived: the engine may break off inside it.
func (s *stream) readEvents() {
	defer close(s.items)
	defer s.exchange.close()
	lines := bufio.NewScanner(s.exchange.body())
	lines.Buffer(make([]byte, 0, readBufferBytes), maxLineBytes)
	lines.Split(scanCompleteLines)
	var next *item // of the event that has begun
	for lines.Scan() {
		if data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: ")); ok {
			parsed := parseChunk(data)
			next = &parsed
			continue
		}
		if len(lines.Bytes()) > 0 || next == nil {
			continue // comment, event id, or the empty line of an event without data
		}
		if !s.deliver(*next) || next.err != nil || next.chunk.Final {
			return
		}
		next = nil
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	s.deliver(item{err: brokenError("the stream broke", err)})
}

// scanCompleteLines is a bufio.SplitFunc like bufio.ScanLines, but without a last
// line that has no line end.
func scanCompleteLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if atEOF && bytes.IndexByte(data, '\n') < 0 {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// deliver hands an item to Next. It returns false after Close.
func (s *stream) deliver(next item) bool {
	select {
	case s.items <- next:
		return true
	case <-s.closed:
		return false
	}
}

func parseChunk(data []byte) item {
	var event chunkEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return item{err: brokenError("malformed event", err)}
	}
	if event.Error != nil {
		return item{err: event.Error.engineError()}
	}
	return item{chunk: backend.Chunk{
		Texts: event.Texts, Final: event.Final, FinishReason: event.FinishReason,
		PromptTokens: event.PromptTokens, CachedTokens: event.CachedTokens,
	}}
}

// Next implements backend.Stream. After ctx has ended, a later Next continues
// the stream. After the final chunk it returns an error that wraps io.EOF.
func (s *stream) Next(ctx context.Context) (backend.Chunk, error) {
	select {
	case next, ok := <-s.items:
		if !ok {
			return backend.Chunk{}, s.lastError()
		}
		s.recordEnd(next)
		return next.chunk, next.err
	case <-s.closed:
		return backend.Chunk{}, brokenError("the stream was closed", io.ErrClosedPipe)
	case <-ctx.Done():
		return backend.Chunk{}, fmt.Errorf("wait for tokens: %w", ctx.Err())
	}
}

func (s *stream) recordEnd(next item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = s.ended || next.chunk.Final
	if next.err != nil {
		s.err = next.err
	}
}

func (s *stream) lastError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		return &backend.EngineError{Kind: backend.EngineNotFound, Message: "the stream has ended", Cause: io.EOF}
	}
	return s.err
}

// Close implements backend.Stream. Unless Next has returned the final chunk, it
// cancels the stream, within CancelTimeout. Its errors are those of Cancel.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.exchange.abort()
		for range s.items { // wait for the reader
		}
		s.mu.Lock()
		ended := s.ended
		s.mu.Unlock()
		if ended {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), CancelTimeout)
		defer cancel()
		s.closeErr = s.client.Cancel(ctx, s.id)
	})
	return s.closeErr
}
