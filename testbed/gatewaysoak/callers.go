package gatewaysoak

import (
	"bufio"
	"cmp"
	"context"
	"errors"
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
	// maxPieceGap is the longest pause between two pieces of a request.
	maxPieceGap = 60 * time.Millisecond
	// probeTimeout is the timeout of the GET request of caller.status.
	probeTimeout = time.Second
	// probeID is the ID of these requests, which go to routes of their own.
	probeID = "probe"
	// promptTokens and answerTokens are the sizes of each stream request.
	promptTokens, answerTokens = 3000, 200
)

// toStopping is the count of requests that were sent to a process after SIGTERM.
const toStopping = "sent to a stopping gateway"

// kind is the kind of a request and the first part of its id.
type kind string

const (
	orderKind  kind = "order"
	lookupKind kind = "lookup"
	streamKind kind = "stream"
	// extraKind is an order on a route that only some configurations of planned work
	// have.
	extraKind kind = "extra"
)

// runsOnce reports whether requests of the kind may run at most once.
func (k kind) runsOnce() bool { return k == orderKind || k == extraKind }

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
	process *instance // the process of the connection
	conn    net.Conn
	br      *bufio.Reader
	sending sending // of the last request
	// lastParts are the parts of the prompt of the last stream.
	lastParts []string
}

func (r *run) newCaller(index int) *caller {
	return &caller{run: r, index: index, random: rand.New(rand.NewPCG(r.options.Seed, uint64(index+1)))}
}

// loop sends requests to random gateways until ctx ends. Most requests go to the
// gateway of the one before, on the same connection.
func (c *caller) loop(ctx context.Context) {
	kinds := []kind{orderKind, orderKind, lookupKind, streamKind, streamKind}
	if c.run.options.Planned {
		kinds = append(kinds, extraKind)
	}
	for ctx.Err() == nil {
		c.sendRequest(ctx, c.nextGateway(), kinds[c.random.IntN(len(kinds))])
		c.pause(ctx)
	}
	c.close()
}

// nextGateway returns the gateway of the next request. Under planned work a caller
// mostly goes back to the gateway that closed its connection, which may be stopping.
func (c *caller) nextGateway() *gateway {
	g := c.run.gateways[c.random.IntN(len(c.run.gateways))]
	if c.gateway != nil && c.random.Float64() < c.returnShare() {
		return c.gateway
	}
	return g
}

// returnShare is the share of requests that go to the gateway of the one before.
func (c *caller) returnShare() float64 {
	switch {
	case !c.run.options.Planned && c.conn == nil:
		return 0
	case !c.run.options.Planned:
		return 0.8
	case c.conn == nil:
		return 0.6
	default:
		return 0.95
	}
}

// pause waits before the next request. Under planned work the caller notices that its
// idle connection was closed; without, it also sends on closed connections.
func (c *caller) pause(ctx context.Context) {
	d := c.pauseTime()
	if d == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	if c.run.options.Planned {
		c.closeIfEnded()
	}
}

// pauseTime returns the pause before the next request. Under planned work some
// requests follow at once, and some connections stay idle for up to callerIdleTime.
// A caller that found no gateway always waits.
func (c *caller) pauseTime() time.Duration {
	if !c.run.options.Planned || c.gateway == nil {
		return callerPause
	}
	switch n := c.random.Float64(); {
	case n < 0.4:
		return 0
	case n < 0.5:
		return time.Duration(c.random.Int64N(int64(c.run.callerIdleTime())))
	default:
		return time.Duration(c.random.Int64N(int64(2 * callerPause)))
	}
}

// closeIfEnded closes the connection if the gateway has closed it while it was idle.
func (c *caller) closeIfEnded() {
	if c.conn == nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.br.Peek(1)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		c.close()
	}
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
	c.gateway = nil
	process := g.process.Load()
	conn, err := net.DialTimeout("tcp", g.callersAddress, time.Second)
	if err != nil {
		return err
	}
	c.gateway, c.process, c.conn, c.br = g, process, conn, bufio.NewReader(conn)
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
	if len(c.process.terms()) > 0 {
		c.run.count(toStopping)
	}
	id := fmt.Sprintf("%s-%d-%d", k, c.index, c.sent)
	_ = c.conn.SetDeadline(time.Now().Add(requestTimeout + 2*time.Second))
	c.run.reports.recordSent(id, c.process)
	response, err := c.exchange(id)
	if err != nil {
		c.close()
		c.run.count(string(k) + " no answer")
		c.recordUnanswered(id, false, err)
		return false
	}
	if fleetsim.Leaving(response.Header) {
		c.run.reports.recordLeaving(id, fleetsim.ServerStamp(response.Header))
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.recordUnanswered(id, true, err)
	}
	if err != nil || response.Close {
		c.close()
	}
	return c.checkAnswer(id, response, string(body), err)
}

// write sends a request, under planned work sometimes in pieces.
func (c *caller) write(text string) error {
	c.sending = sending{begun: time.Now()}
	if c.run.options.Planned && c.random.Float64() < 0.1 {
		first := 1 + c.random.IntN(len(text)-1)
		if _, err := io.WriteString(c.conn, text[:first]); err != nil {
			return err
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(maxPieceGap))))
		text = text[first:]
	}
	if _, err := io.WriteString(c.conn, text); err != nil {
		return err
	}
	c.sending.written = time.Now()
	return nil
}

func (c *caller) exchange(id string) (*http.Response, error) {
	method, target, _ := strings.Cut(requestLine(id), " ")
	request := fleetsim.Call{Method: method, Target: target, Host: host, ID: id, Key: apiKey, TimeLeft: requestTimeout, ForgedAccount: "forged"}
	if kindOf(id) == streamKind {
		c.lastParts = c.parts(id)
		request.PromptTokens, request.AnswerTokens, request.Parts = promptTokens, answerTokens, c.lastParts
	}
	if method == http.MethodPost {
		request.Body = id
	}
	writeErr := c.write(request.Text())
	// A gateway may answer and close the connection before it has read the body.
	response, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return nil, cmp.Or(writeErr, err)
	}
	return response, nil
}

// checkAnswer checks an answer against the guarantees and reports whether it is a
// complete success. err is the error of reading the body.
func (c *caller) checkAnswer(id string, response *http.Response, body string, err error) bool {
	k := kindOf(id)
	c.run.count(fmt.Sprintf("%s %d", k, response.StatusCode))
	c.checkStamp(id, response)
	switch response.StatusCode {
	case http.StatusOK:
		return c.checkSuccess(id, response, body, err)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.recordNotRun(id, response.StatusCode)
	case http.StatusNotFound:
		if k == extraKind {
			c.recordNotRun(id, response.StatusCode)
			return false
		}
		fallthrough
	case http.StatusUnauthorized:
		c.run.addViolation("request %s was answered %d", id, response.StatusCode)
	}
	return false
}

// recordNotRun records that a request was answered as not run.
func (c *caller) recordNotRun(id string, status int) {
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.run.reportedNotRun[id] = status
}

// checkStamp checks that an answer has the stamp of a server if and only if a server
// gave it, which are the statuses 200 and 500, and that this server ran the request.
func (c *caller) checkStamp(id string, response *http.Response) {
	stamp := fleetsim.ServerStamp(response.Header)
	fromServer := response.StatusCode == http.StatusOK || response.StatusCode == http.StatusInternalServerError
	switch {
	case fromServer && !c.run.ranAt(id, stamp):
		c.run.addViolation("request %s: status %d with the stamp %q of a server that did not run it", id, response.StatusCode, stamp)
	case !fromServer && stamp != "":
		c.run.addViolation("request %s: status %d of the gateway with the stamp of server %s", id, response.StatusCode, stamp)
	}
}

func (c *caller) checkSuccess(id string, response *http.Response, body string, err error) bool {
	want := fleetsim.Body(id)
	if kindOf(id) == streamKind {
		var events strings.Builder
		for n := 1; n <= streamEvents; n++ {
			events.WriteString(fleetsim.Event(n))
		}
		want = events.String()
	}
	switch {
	case err == nil && body != want && kindOf(id) == streamKind && c.run.ranUnframed(id) && fleetsim.IsEventPrefix(body, streamEvents):
		c.run.count("stream without a length ended between events") // a fault of the connection, which nothing shows
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
	probe := fleetsim.Call{ID: probeID, Key: apiKey, TimeLeft: probeTimeout}
	response, err := http.DefaultClient.Do(&http.Request{Method: http.MethodGet, Host: host, URL: g.url(path), Header: probe.Header()})
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
