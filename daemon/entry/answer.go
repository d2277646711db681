package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
)

// keepAliveInterval is the interval between comments in a streamed answer, so
// that proxies on the path do not close an idle connection.
const keepAliveInterval = time.Second

// choice, usage and completionAnswer are messages of the de facto standard
// completions protocol.
type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
	CachedTokens     uint32 `json:"cached_tokens"`
}

type completionAnswer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   *usage          `json:"usage,omitempty"`
	Outcome outcome.Outcome `json:"outcome,omitempty"`
}

func (c *completion) answerBody(text string, end *wire.End) completionAnswer {
	a := completionAnswer{ID: c.exchange.requestID, Object: "text_completion", Created: c.exchange.started.Unix(),
		Model: c.model, Choices: []choice{{Text: text}}}
	if end != nil {
		reason := end.FinishReason
		a.Choices[0].FinishReason = &reason
		a.Usage = &usage{PromptTokens: end.PromptTokens, CompletionTokens: end.CompletionTokens,
			TotalTokens: end.PromptTokens + end.CompletionTokens, CachedTokens: end.CachedTokens}
		a.Outcome = outcome.Completed
	}
	return a
}

// writeBufferedAnswer collects a completion that is not streamed and writes it
// in one response.
func (e *Entry) writeBufferedAnswer(c *completion, a *answer) {
	var text strings.Builder
	for running := true; running; {
		select {
		case t := <-a.tokens:
			appendTexts(&text, t.texts)
		case <-a.done:
			running = false
		}
	}
	for len(a.tokens) > 0 {
		t := <-a.tokens
		appendTexts(&text, t.texts)
	}
	x := c.exchange
	if a.result.err != nil {
		writeError(x.http, x.requestID, a.result.outcome, a.result.err)
		a.delivered <- true
		return
	}
	x.http.Response.Header.Set(headerOutcome, string(a.result.outcome))
	writeJSON(x.http, http.StatusOK, c.answerBody(text.String(), a.result.end))
	a.delivered <- true
}

func appendTexts(b *strings.Builder, texts []string) {
	for _, t := range texts {
		b.WriteString(t)
	}
}

// streamAnswer answers with server-sent events. The HTTP status is decided when
// an agent has accepted the request or the request has ended.
func (e *Entry) streamAnswer(c *completion, a *answer, cancel context.CancelCauseFunc, finish func()) {
	select {
	case <-a.accepted:
	case <-a.done:
		if a.result.err != nil {
			writeError(c.exchange.http, c.exchange.requestID, a.result.outcome, a.result.err)
			finish()
			return
		}
	}
	h := &c.exchange.http.Response.Header
	h.SetContentType("text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	c.exchange.http.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer finish()
		if err := c.writeEvents(w, a); err != nil {
			cancel(outcome.Wrap(err, outcome.Cancelled, "the caller is gone"))
			a.delivered <- false
			return
		}
		a.delivered <- true
	})
}

// writeEvents writes events until the answer has ended.
func (c *completion) writeEvents(w *bufio.Writer, a *answer) error {
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case t := <-a.tokens:
			if err := c.writeTokens(w, t); err != nil {
				return err
			}
		case <-a.done:
			for len(a.tokens) > 0 {
				if err := c.writeTokens(w, <-a.tokens); err != nil {
					return err
				}
			}
			return c.writeEnd(w, a.result)
		case <-keepAlive.C:
			if err := writeAndFlush(w, ": waiting\n\n"); err != nil {
				return err
			}
		}
	}
}

// writeTokens writes one event. Its id contains the agent and the number of
// tokens so far; a caller resumes from there with Last-Event-ID.
func (c *completion) writeTokens(w *bufio.Writer, t tokenEvent) error {
	data, err := json.Marshal(c.answerBody(strings.Join(t.texts, ""), nil))
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	id := eventID(t.vm, t.offset+uint32(len(t.texts)))
	return writeAndFlush(w, fmt.Sprintf("id: %s\ndata: %s\n\n", id, data))
}

// endEvent is the data of the last event. It carries the outcome, which was not
// yet known when the HTTP status was sent.
type endEvent struct {
	RequestID string               `json:"request_id"`
	Outcome   outcome.Outcome      `json:"outcome"`
	Error     *outcome.ErrorDetail `json:"error,omitempty"`
}

func (c *completion) writeEnd(w *bufio.Writer, r result) error {
	end := endEvent{RequestID: c.exchange.requestID, Outcome: r.outcome}
	if r.err != nil {
		detail := outcome.DetailOf(r.err)
		end.Error = &detail
	} else {
		data, err := json.Marshal(c.answerBody("", r.end))
		if err != nil {
			return fmt.Errorf("encode event: %w", err)
		}
		if err := writeAndFlush(w, fmt.Sprintf("data: %s\n\n", data)); err != nil {
			return err
		}
	}
	data, err := json.Marshal(end)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	return writeAndFlush(w, fmt.Sprintf("event: end\ndata: %s\n\ndata: [DONE]\n\n", data))
}

func writeAndFlush(w *bufio.Writer, text string) error {
	if _, err := w.WriteString(text); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return nil
}

func eventID(vm string, offset uint32) string { return fmt.Sprintf("%s/%d", vm, offset) }
