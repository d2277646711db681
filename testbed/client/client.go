// Package client sends requests to entries as callers do, for tests, the demo and
// the load tools. It reads streamed and unstreamed answers.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Client sends requests to one entry.
type Client struct {
	// BaseURL is the URL of the callers' API.
	BaseURL string
	APIKey  string
	HTTP    *http.Client
}

// New returns a client of the entry at address.
func New(address, key string) *Client {
	return &Client{BaseURL: "http://" + address, APIKey: key, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Request is a completion request.
type Request struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	TimeoutMS int64  `json:"timeout_ms,omitempty"`
	// ID is sent as X-Request-Id if it is not empty.
	ID string `json:"-"`
}

// Answer is what a caller has received of an answer.
type Answer struct {
	Status      int
	RequestID   string
	TraceID     string
	Outcome     string
	Code        string // error code, if any
	Message     string // error message, if any
	Text        string
	TextEvents  int           // number of events with text, 0 if not streamed
	FirstToken  time.Duration // from the start of the request to the first text event, 0 without one
	Duration    time.Duration // from the start of the request to the end of the answer
	LastEventID string        // id of the last event received, for Resume
	Recorded    bool          // the answer is that of an earlier run of the order
	RetryAfter  string
}

// outcomeBody is the outcome and the error, if any, in a response body or in the
// last event of a stream.
type outcomeBody struct {
	Outcome string `json:"outcome"`
	Error   struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// Complete sends a completion request and reads the complete answer. If the
// connection breaks, it returns an error and what was received until then.
func (c *Client) Complete(ctx context.Context, r Request) (Answer, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Answer{}, fmt.Errorf("encode request: %w", err)
	}
	return c.do(ctx, http.MethodPost, "/v1/completions", body, map[string]string{"X-Request-Id": r.ID, "Content-Type": "application/json"}, nil)
}

// CompleteObserved is like Complete and calls onEvent after each event.
func (c *Client) CompleteObserved(ctx context.Context, r Request, onEvent func(Answer)) (Answer, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Answer{}, fmt.Errorf("encode request: %w", err)
	}
	return c.do(ctx, http.MethodPost, "/v1/completions", body, map[string]string{"X-Request-Id": r.ID}, onEvent)
}

// Resume reads the rest of an answer after the event lastEventID, or the complete
// answer if lastEventID is empty.
func (c *Client) Resume(ctx context.Context, id, lastEventID string) (Answer, error) {
	return c.do(ctx, http.MethodGet, "/v1/requests/"+id, nil, map[string]string{"Last-Event-ID": lastEventID}, nil)
}

// Order sends an order with a key to a service.
func (c *Client) Order(ctx context.Context, path, key string, body []byte) (Answer, error) {
	return c.do(ctx, http.MethodPost, path, body, map[string]string{"Idempotency-Key": key, "Content-Type": "application/json"}, nil)
}

// Call sends a request with the given method, path, body and headers.
func (c *Client) Call(ctx context.Context, method, path string, body []byte, headers map[string]string) (Answer, error) {
	return c.do(ctx, method, path, body, headers, nil)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, headers map[string]string, onEvent func(Answer)) (Answer, error) {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, fmt.Errorf("create request for %s: %w", path, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.APIKey)
	for name, value := range headers {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Answer{}, fmt.Errorf("call %s: %w", path, err)
	}
	defer func() { _ = response.Body.Close() }()
	a := Answer{Status: response.StatusCode, RequestID: response.Header.Get("X-Request-Id"),
		TraceID: response.Header.Get("Camphorwick-Trace-Id"), Outcome: response.Header.Get("Camphorwick-Outcome"),
		Recorded: response.Header.Get("Camphorwick-Recorded") == "true", RetryAfter: response.Header.Get("Retry-After")}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		err = a.readEvents(response.Body, started, onEvent)
	} else {
		err = a.readBody(response.Body)
	}
	a.Duration = time.Since(started)
	return a, err
}

// readBody reads a JSON completion, an error, or the plain body of a service.
func (a *Answer) readBody(body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	a.Text = string(data)
	if a.Status >= http.StatusBadRequest {
		a.readOutcome(data)
		return nil
	}
	var completion struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &completion) == nil && len(completion.Choices) == 1 {
		a.Text = completion.Choices[0].Text
	}
	return nil
}

func (a *Answer) readOutcome(data []byte) {
	var body outcomeBody
	if json.Unmarshal(data, &body) == nil {
		a.Outcome, a.Code, a.Message = body.Outcome, body.Error.Code, body.Error.Message
	}
}

// maxLineBytes is the maximum length of a line in a stream.
const maxLineBytes = 4 << 20

// readEvents reads server-sent events up to [DONE].
func (a *Answer) readEvents(body io.Reader, started time.Time, onEvent func(Answer)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	eventType := ""
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "":
			eventType = ""
		case strings.HasPrefix(line, "id: "):
			a.LastEventID = line[len("id: "):]
		case strings.HasPrefix(line, "event: "):
			eventType = line[len("event: "):]
		case line == "data: [DONE]":
			return nil
		case strings.HasPrefix(line, "data: "):
			a.readEvent(eventType, []byte(line[len("data: "):]), &text, started)
			if onEvent != nil {
				onEvent(*a)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read events: %w", err)
	}
	return fmt.Errorf("read events: stream ended without [DONE]: %w", io.ErrUnexpectedEOF)
}

func (a *Answer) readEvent(eventType string, data []byte, text *strings.Builder, started time.Time) {
	if eventType == "end" {
		a.readOutcome(data)
		return
	}
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Text == "" {
		return
	}
	if a.TextEvents == 0 {
		a.FirstToken = time.Since(started)
	}
	a.TextEvents++
	text.WriteString(chunk.Choices[0].Text)
}
