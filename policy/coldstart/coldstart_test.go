package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func vms(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("vm-", i)
	}
	return out
}

func limiters(list []string) []*Limiter {
	out := make([]*Limiter, len(list))
	for i, vm := range list {
		out[i] = NewLimiter(vm, time.Unix(0, 0).Add(-startTime))
		out[i].SetGateways(list)
	}
	return out
}

// Guards against the load "all gateways find the same cold server at once": each of them
// knows only its own requests, and together they crash the server.
func TestGatewaysTogetherKeepTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := limiters(vms(rapid.IntRange(1, 120).Draw(t, "gateways")))
		perSecond := rapid.Float64Range(1, 200).Draw(t, "per second")
		server := fmt.Sprint("server-", rapid.IntRange(0, 1000).Draw(t, "server"))
		start := time.Unix(0, 0)
		var sent []time.Time
		for step := range 300 { // 3 s
			now := start.Add(time.Duration(step) * 10 * time.Millisecond)
			for _, l := range gateways {
				if l.Allows(server, perSecond, now) {
					l.Record(server, now)
					sent = append(sent, now)
				}
			}
		}
		oldest := 0
		for i, at := range sent {
			for at.Sub(sent[oldest]) >= time.Second {
				oldest++
			}
			if n := i - oldest + 1; float64(n) > perSecond {
				t.Fatalf("%d requests in a second at a rate of %.1f", n, perSecond)
			}
		}
	})
}

// Guards against a server that is left cold without requests although its rate allows some,
// and against gateways that have no share of any of a fleet's cold servers.
func TestSharesAreUsed(t *testing.T) {
	is := is.New(t)
	list := vms(30)
	now := time.Unix(0, 0)
	byServer, byGateway := map[string]int{}, map[string]int{}
	for _, l := range limiters(list) {
		for i := range 18 {
			server := fmt.Sprint("server-", i)
			for l.Allows(server, 26, now) {
				l.Record(server, now)
				byServer[server]++
				byGateway[l.vm]++
			}
		}
	}
	for i := range 18 {
		is.Equal(byServer[fmt.Sprint("server-", i)], 26)
	}
	for _, vm := range list {
		is.True(byGateway[vm] >= 9) // 18 x 26 / 30 in the mean
	}
	l := NewLimiter("alone", now.Add(-startTime))
	is.True(l.Allows("server", 0.2, now)) // a rate below one a second
	l.Record("server", now)
	is.True(!l.Allows("server", 0.2, now.Add(time.Second)))
	is.True(l.Allows("server", 0.2, now.Add(window)))
}

// Guards against the load "all gateways lost power and start together": none of them finds
// the others in the list yet, and each takes the whole rate for its own.
func TestStartingGatewaysTakeNoWholeRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	sent := 0
	for _, vm := range vms(30) {
		l := NewLimiter(vm, now)
		for l.Allows("server", 26, now) {
			l.Record("server", now)
			sent++
		}
	}
	is.True(sent > 0 && sent <= 30)
}
