package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a request of a caller.
type request struct {
	id, method, path, key string
	parts                 []string // of the prompt, with the last one; nil for none
	tokens                int      // of the prompt
	body                  string
	deadline              time.Duration
}

// result is what a caller got. err is set if the answer is not complete.
type result struct {
	status int
	stamp  string
	body   string
	err    error
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("no complete answer (status %d, %d bytes): %v", r.status, len(r.body), r.err)
	}
	return fmt.Sprintf("status %d, stamp %q, body of %d bytes, complete", r.status, r.stamp, len(r.body))
}

func (r *request) head() string {
	var h strings.Builder
	fmt.Fprintf(&h, "%s %s HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, r.id, r.key, r.deadline.Milliseconds())
	if r.tokens > 0 {
		entries := make([]string, len(r.parts))
		for i, part := range r.parts {
			entries[i] = fmt.Sprintf("%s:%d", part, r.tokens/len(r.parts))
		}
		fmt.Fprintf(&h, "X-Model: m\r\nX-Token-Usage: %d,80\r\nX-Prompt-Prefix: %s\r\n", r.tokens, strings.Join(entries, ","))
	}
	if r.method == http.MethodPost {
		fmt.Fprintf(&h, "Content-Length: %d\r\n", len(r.body))
	}
	return h.String() + "\r\n"
}

// channel is a caller's connection.
type channel struct {
	net.Conn
	br *bufio.Reader
}

func dial(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

// do sends a request and reads its answer, for two seconds longer than the caller's time.
func (c *channel) do(r *request) result {
	_ = c.SetDeadline(time.Now().Add(r.deadline + 2*time.Second))
	if _, err := io.WriteString(c, r.head()+r.body); err != nil {
		return result{err: err}
	}
	answer, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(answer.Body)
	return result{status: answer.StatusCode, stamp: answer.Header.Get("X-Server-Stamp"), body: string(body), err: err}
}

// call sends a request on a new channel.
func call(address string, r *request) result {
	c, err := dial(address)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()
	return c.do(r)
}

// httpGet returns the status of a GET request and its body.
func httpGet(address, path string) (int, string) {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	body, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(body)
}
