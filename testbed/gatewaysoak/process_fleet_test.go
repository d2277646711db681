package gatewaysoak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/platform/fleetsim"
	"camphorwick.dev/testbed/fleet"
)

// newTestRun returns a run without servers and gateways, with its store at a port, for
// tests that choose the servers themselves.
func newTestRun(t *testing.T, bin string) *run {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	processes, err := fleet.Empty(fleet.Options{Bin: bin, Dir: dir})
	is.NoErr(err)
	t.Cleanup(processes.Kill)
	r := &run{options: Options{Bin: bin, Dir: dir, Out: io.Discard}, fleet: processes, store: fleetsim.NewStore(),
		runs: map[string][]fleetsim.Run{}, reports: newReportChecks(), places: newPlaceChecks(), report: Report{Requests: map[string]int{}}}
	t.Cleanup(func() { r.stopping.Store(true) })
	return r
}

// startGateways starts gateways as processes and waits until they are ready.
func (r *run) startGateways(t *testing.T, n int) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: r.store}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	for i := range n {
		g, err := r.newGateway(i, l.Addr().String())
		is.NoErr(err)
		is.NoErr(g.awaitReady(ctx))
		r.gateways = append(r.gateways, g)
	}
}

// sendOnce sends a call to a gateway on a connection of its own. It returns the answer,
// whose body was read, or nil without a whole one.
func sendOnce(g *gateway, call *fleetsim.Call) *http.Response {
	c, err := net.DialTimeout("tcp", g.callersAddress, time.Second)
	if err != nil {
		return nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := io.WriteString(c, call.Text()); err != nil {
		return nil
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: call.Method})
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return nil
	}
	return response
}
