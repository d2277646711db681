package gatewaysoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"camphorwick.dev/platform/fleetsim"
)

// A caller waits callerPause between an answer and its next request. droppedPath is a
// path of the route that only the first configuration has.
const (
	host           = "soak.example"
	account        = "hanbit"
	apiKey         = "soak-key"
	requestTimeout = 4 * time.Second
	callerPause    = 20 * time.Millisecond
	droppedPath    = "/dropped/1"
	// probeTimeout is the timeout of the GET request of caller.status.
	probeTimeout = time.Second
	// promptTokens and answerTokens are the sizes of each stream request.
	promptTokens, answerTokens = 3000, 200
)

// kind is the kind of a request and the first part of its id.
type kind string

const (
	orderKind  kind = "order"
	lookupKind kind = "lookup"
	streamKind kind = "stream"
)

func kindOf(id string) kind {
	name, _, _ := strings.Cut(id, "-")
	return kind(name)
}

// requestLine returns the method and the target of the request with an id. The
// target has an escaped slash and an empty parameter, which a gateway must pass
// on unchanged.
func requestLine(id string) string {
	method := http.MethodPost
	if kindOf(id) == lookupKind {
		method = http.MethodGet
	}
	return method + " /" + string(kindOf(id)) + "/" + id + "%2F?x=1&&y"
}

// caller sends requests one after the other and reuses its connection until
// the gateway closes it.
type caller struct {
	run     *run
	index   int
	sent    int
	random  *rand.Rand
	gateway *gateway
	conn    net.Conn
	br      *bufio.Reader
}

func (r *run) newCaller(index int) *caller {
	return &caller{run: r, index: index, random: rand.New(rand.NewPCG(r.options.Seed, uint64(index+1)))}
}

// loop sends requests to random gateways until ctx ends. Most requests go to the
// gateway of the one before, on the same connection.
func (c *caller) loop(ctx context.Context) {
	kinds := []kind{orderKind, orderKind, lookupKind, streamKind, streamKind}
	for ctx.Err() == nil {
		g := c.run.gateways[c.random.IntN(len(c.run.gateways))]
		if c.conn != nil && c.random.Float64() < 0.8 {
			g = c.gateway
		}
		c.sendRequest(ctx, g, kinds[c.random.IntN(len(kinds))])
		select {
		case <-ctx.Done():
		case <-time.After(callerPause):
		}
	}
	c.close()
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to a gateway unless there is one.
func (c *caller) connect(g *gateway) error {
	if c.conn != nil && c.gateway == g {
		return nil
	}
	c.close()
	conn, err := net.DialTimeout("tcp", g.callersAddress, time.Second)
	if err != nil {
		return err
	}
	c.gateway, c.conn, c.br = g, conn, bufio.NewReader(conn)
	return nil
}

// sendRequest sends one request, checks its answer and reports whether a complete
// success was received.
func (c *caller) sendRequest(ctx context.Context, g *gateway, k kind) bool {
	if err := c.connect(g); err != nil {
		c.run.count(string(k) + " no connection")
		return false
	}
	c.sent++
	id := fmt.Sprintf("%s-%d-%d", k, c.index, c.sent)
	_ = c.conn.SetDeadline(time.Now().Add(requestTimeout + 2*time.Second))
	response, err := c.exchange(id)
	if err != nil {
		c.close()
		c.run.count(string(k) + " no answer")
		return false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		c.close()
	}
	return c.checkAnswer(id, response, string(body), err)
}

func (c *caller) exchange(id string) (*http.Response, error) {
	method, target, _ := strings.Cut(requestLine(id), " ")
	request := fleetsim.Call{Method: method, Target: target, Host: host, ID: id, Key: apiKey, TimeLeft: requestTimeout, ForgedAccount: "forged"}
	if kindOf(id) == streamKind {
		request.PromptTokens, request.AnswerTokens = promptTokens, answerTokens
	}
	if method == http.MethodPost {
		request.Body = id
	}
	if _, err := io.WriteString(c.conn, request.Text()); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.br, &http.Request{Method: method})
}

// checkAnswer checks an answer against the guarantees and reports whether it is a
// complete success. err is the error of reading the body.
func (c *caller) checkAnswer(id string, response *http.Response, body string, err error) bool {
	k := kindOf(id)
	c.run.count(fmt.Sprintf("%s %d", k, response.StatusCode))
	switch response.StatusCode {
	case http.StatusOK:
		return c.checkSuccess(id, response, body, err)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.run.mu.Lock()
		c.run.reportedNotRun[id] = response.StatusCode
		c.run.mu.Unlock()
	case http.StatusUnauthorized, http.StatusNotFound:
		c.run.addViolation("request %s was answered %d", id, response.StatusCode)
	}
	return false
}

func (c *caller) checkSuccess(id string, response *http.Response, body string, err error) bool {
	if !fleetsim.HasServerStamp(response.Header) {
		c.run.addViolation("request %s: success response without the marker of a server", id)
	}
	want := fleetsim.Body(id)
	if kindOf(id) == streamKind {
		var events strings.Builder
		for n := 1; n <= streamEvents; n++ {
			events.WriteString(fleetsim.Event(n))
		}
		want = events.String()
	}
	switch {
	case err == nil && body != want:
		c.run.addViolation("request %s: complete answer %q, expected %q", id, body, want)
	case err != nil && !strings.HasPrefix(want, body):
		c.run.addViolation("request %s: truncated answer %q is not a prefix of %q", id, body, want)
	}
	return err == nil
}

// status sends a GET for a path and returns the status, or 0 if there was no
// answer.
func (c *caller) status(g *gateway, path string) int {
	probe := fleetsim.Call{ID: "probe", Key: apiKey, TimeLeft: probeTimeout}
	response, err := http.DefaultClient.Do(&http.Request{Method: http.MethodGet, Host: host, URL: g.url(path), Header: probe.Header()})
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
