package configcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/policy/dispatch"
)

// sound returns a configuration without a mistake.
func sound() *routing.Config {
	return &routing.Config{Version: 7, Limits: routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []routing.Route{
			{Name: "ask", Host: "a.example", Prefix: "/ask/", Kind: routing.Stream, Timeout: 10 * time.Second, LatencyTarget: time.Second, EventGapTarget: time.Second, MaxServers: 2, Resumable: true, Targets: []routing.Target{{Service: "engines", Weight: 1}}},
			{Name: "order", Host: "a.example", Prefix: "/order/", Timeout: time.Second, LatencyTarget: time.Second, MaxServers: 1, Targets: []routing.Target{{Service: "desk", Weight: 3}}}},
		Services: []routing.Service{{Name: "engines", Engine: &dispatch.Engine{Slots: 8, MemoryTokens: 1000, ChunkTokens: 100, StepsPerPass: 10, PrefillTokensPerMilli: 100}}, {Name: "desk"}},
		Accounts: []routing.Account{{Name: "acme", Keys: []string{"secret-1"}}, {Name: "zeta", Keys: []string{"secret-2"}}}}
}

// Guards against a finding in a configuration that has no mistake.
func TestSoundConfigurationHasNoFindings(t *testing.T) {
	is := is.New(t)
	before := sound()
	before.Version = 6
	is.Equal(len(Check(sound(), before, []string{"north"})), 0)
}

// Guards against a mistake that is not found, or is found at another entry.
func TestMistakesAreFound(t *testing.T) {
	for want, spoil := range map[string]func(c *routing.Config){
		"error version: 5 is not above the version in force":          func(c *routing.Config) { c.Version = 5 },
		"error route order: the name stands 2 times":                  func(c *routing.Config) { c.Routes[0].Name = "order" },
		"error route order: it never matches: route ask has the same": func(c *routing.Config) { c.Routes[1].Host, c.Routes[1].Prefix = "A.example", "/ask/" },
		"error route ask: its service \"none\" does not exist":        func(c *routing.Config) { c.Routes[0].Targets[0].Service = "none" },
		"error route ask: no service gets its requests":               func(c *routing.Config) { c.Routes[0].Targets[0].Weight = 0 },
		"error route ask: the prefix \"ask/\" does not begin":         func(c *routing.Config) { c.Routes[0].Prefix = "ask/" },
		"error route ask: it has no host":                             func(c *routing.Config) { c.Routes[0].Host = "" },
		"error route order: the latency target 1s is beyond":          func(c *routing.Config) { c.Routes[1].Timeout = time.Millisecond },
		"error route order: the timeout is 0s":                        func(c *routing.Config) { c.Routes[1].Timeout = 0 },
		"error route ask: the event gap target 11s is beyond":         func(c *routing.Config) { c.Routes[0].EventGapTarget = 11 * time.Second },
		"warning route order: 3 servers are allowed, but":             func(c *routing.Config) { c.Routes[1].MaxServers = 3 },
		"warning route order: it is resumable":                        func(c *routing.Config) { c.Routes[1].Resumable = true },
		"warning service desk: no route sends requests to it":         func(c *routing.Config) { c.Routes = c.Routes[:1] },
		"error service engines: the engine's slots is 0":              func(c *routing.Config) { c.Services[0].Engine.Slots = 0 },
		"error service engines: a chunk of 2000 tokens exceeds":       func(c *routing.Config) { c.Services[0].Engine.ChunkTokens = 2000 },
		"error account zeta: key 1 is also one of account acme":       func(c *routing.Config) { c.Accounts[1].Keys[0] = "secret-1" },
		"error account acme: key 1 is empty":                          func(c *routing.Config) { c.Accounts[0].Keys[0] = " " },
		"warning account acme: it has no key":                         func(c *routing.Config) { c.Accounts[0].Keys = nil },
		"error route ask: region \"west\" has no data centre":         func(c *routing.Config) { c.Routes[0].Regions = []string{"west"} },
		"warning route ask: account acme shares no region with it": func(c *routing.Config) {
			c.Routes[0].Regions, c.Accounts[0].Regions = []string{"north"}, []string{"south"}
		},
		"error limits: the limit of the body bytes is below 0":           func(c *routing.Config) { c.Limits.BodyBytes = -1 },
		"warning limits: 100 header bytes leave no room for the headers": func(c *routing.Config) { c.Limits.HeaderBytes = 100 },
		"warning limits: the header timeout 1m0s is beyond the longest":  func(c *routing.Config) { c.Limits.HeaderTimeout = time.Minute },
		"warning accounts: all routes are public":                        func(c *routing.Config) { c.Routes[0].Public, c.Routes[1].Public = true, true },
	} {
		c := sound()
		spoil(c)
		before := sound()
		before.Version = 6
		var all []string
		for _, f := range Check(c, before, []string{"north", "south"}) {
			all = append(all, fmt.Sprintf("%s %s: %s", f.Severity, f.Subject, f.Text))
		}
		if !strings.Contains(strings.Join(all, "\n"), want) {
			t.Errorf("%q is not among the findings %q", want, all)
		}
		if strings.Contains(strings.Join(all, ""), "secret") {
			t.Errorf("a key is shown in %q", all)
		}
	}
}

// Guards against a change that an operator is not shown, and against keys in the output.
func TestDiff(t *testing.T) {
	is := is.New(t)
	next := sound()
	next.Routes[0].Timeout = 12 * time.Second
	next.Routes[1].Name = "booking"
	next.Accounts[0].Keys = []string{"secret-1", "secret-3"}
	next.Limits.BodyBytes = 1 << 20
	next.Services[0].Engine.Slots = 9
	var lines []string
	for _, d := range Diff(sound(), next) {
		line := d.Subject + " " + d.Change
		for _, f := range d.Fields {
			line += " " + f.Name
		}
		lines = append(lines, line)
	}
	is.Equal(lines, []string{"route ask changed Timeout", "route booking added", "route order removed", "service engines changed Engine", "account acme changed Keys", "limits changed BodyBytes"})
	is.True(!strings.Contains(fmt.Sprint(Diff(sound(), next)), "secret"))
	is.Equal(len(Diff(sound(), sound())), 0)
}
