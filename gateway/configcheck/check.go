// Package configcheck finds mistakes in a configuration before it is sent: what gateways would
// refuse, entries that can never match a request, limits that contradict each other, and what
// differs from the version in force. It decides by the same types as the gateways and changes
// nothing.
package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"camphorwick.dev/gateway/routing"
	"camphorwick.dev/policy/dispatch"
)

// Severity says what becomes of a configuration with a finding.
type Severity string

// Severities.
const (
	// Error is a mistake with which requests fail.
	Error Severity = "error"
	// Warning is an entry without effect, or one that probably does not do what was meant.
	Warning Severity = "warning"
)

// Finding is one mistake.
type Finding struct {
	Severity Severity `json:"severity"`
	// Subject is the entry, such as "route r-1" or "limits".
	Subject string `json:"subject"`
	Text    string `json:"text"`
}

// checker collects findings.
type checker struct {
	config   *routing.Config
	findings []Finding
}

func (c *checker) add(severity Severity, subject, format string, args ...any) {
	c.findings = append(c.findings, Finding{severity, subject, fmt.Sprintf(format, args...)})
}

// Check returns the findings in a configuration, errors first. inForce is the version in force,
// or nil. regions are the regions of the data centres, empty if they are not known.
func Check(config, inForce *routing.Config, regions []string) []Finding {
	c := &checker{config: config}
	c.checkVersion(inForce)
	c.checkNames()
	for i := range config.Routes {
		c.checkRoute(&config.Routes[i])
	}
	c.checkMatches()
	c.checkUse()
	for i := range config.Services {
		c.checkService(&config.Services[i])
	}
	c.checkAccounts()
	c.checkRegions(regions)
	c.checkLimits()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return strings.Compare(string(a.Severity), string(b.Severity)) })
	return c.findings
}

// HasErrors reports whether any of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

func (c *checker) checkVersion(inForce *routing.Config) {
	if c.config.Version <= 0 {
		c.add(Error, "version", "%d is not above 0", c.config.Version)
	}
	if inForce != nil && c.config.Version <= inForce.Version {
		c.add(Error, "version", "%d is not above the version in force, %d: gateways ignore it", c.config.Version, inForce.Version)
	}
}

// checkNames finds names that stand twice or are empty.
func (c *checker) checkNames() {
	var routes, services, accounts []string
	for _, r := range c.config.Routes {
		routes = append(routes, r.Name)
	}
	for _, s := range c.config.Services {
		services = append(services, s.Name)
	}
	for _, a := range c.config.Accounts {
		accounts = append(accounts, a.Name)
	}
	for kind, names := range map[string][]string{"route": routes, "service": services, "account": accounts} {
		for name, n := range countNames(names) {
			switch {
			case name == "":
				c.add(Error, kind, "%d of them have no name", n)
			case n > 1:
				c.add(Error, kind+" "+name, "the name stands %d times", n)
			}
		}
	}
}

func countNames(names []string) map[string]int {
	counts := map[string]int{}
	for _, name := range names {
		counts[name]++
	}
	return counts
}

func (c *checker) checkRoute(r *routing.Route) {
	subject := "route " + r.Name
	if r.Host == "" {
		c.add(Error, subject, "it has no host, so no request matches")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(Error, subject, "the prefix %q does not begin and end with a slash", r.Prefix)
	}
	c.checkTargets(r, subject)
	c.checkTimes(r, subject)
	if r.Kind == routing.NonIdempotent && r.MaxServers > 1 {
		c.add(Warning, subject, "%d servers are allowed, but a request that is not idempotent runs on one", r.MaxServers)
	}
	if r.Kind != routing.Stream && r.Resumable {
		c.add(Warning, subject, "it is resumable, which has no effect on requests that are no streams")
	}
}

func (c *checker) checkTargets(r *routing.Route, subject string) {
	total := 0
	for _, t := range r.Targets {
		switch {
		case c.service(t.Service) == nil:
			c.add(Error, subject, "its service %q does not exist", t.Service)
		case t.Weight < 0:
			c.add(Error, subject, "the weight of service %q is %d", t.Service, t.Weight)
		case t.Weight == 0:
			c.add(Warning, subject, "service %q has the weight 0 and gets no requests", t.Service)
		}
		total += t.Weight
	}
	if total <= 0 {
		c.add(Error, subject, "no service gets its requests")
	}
}

func (c *checker) checkTimes(r *routing.Route, subject string) {
	if r.Timeout <= 0 {
		c.add(Error, subject, "the timeout is %v", r.Timeout)
		return
	}
	if r.LatencyTarget <= 0 {
		c.add(Warning, subject, "it has no latency target")
	}
	if r.LatencyTarget > r.Timeout {
		c.add(Error, subject, "the latency target %v is beyond the timeout %v", r.LatencyTarget, r.Timeout)
	}
	if r.EventGapTarget > r.Timeout {
		c.add(Error, subject, "the event gap target %v is beyond the timeout %v", r.EventGapTarget, r.Timeout)
	}
	if r.Kind == routing.Stream && r.EventGapTarget <= 0 {
		c.add(Warning, subject, "it is a stream without an event gap target")
	}
}

func (c *checker) service(name string) *routing.Service {
	i := slices.IndexFunc(c.config.Services, func(s routing.Service) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &c.config.Services[i]
}

// checkMatches finds routes that another one with the same host and prefix hides.
func (c *checker) checkMatches() {
	first := map[string]string{}
	for _, r := range c.config.Routes {
		key := strings.ToLower(r.Host) + r.Prefix
		if other, taken := first[key]; taken {
			c.add(Error, "route "+r.Name, "it never matches: route %s has the same host and prefix %s%s", other, r.Host, r.Prefix)
			continue
		}
		first[key] = r.Name
	}
}

// checkUse finds services that no route uses.
func (c *checker) checkUse() {
	used := map[string]bool{}
	for _, r := range c.config.Routes {
		for _, t := range r.Targets {
			used[t.Service] = used[t.Service] || t.Weight > 0
		}
	}
	for _, s := range c.config.Services {
		if !used[s.Name] {
			c.add(Warning, "service "+s.Name, "no route sends requests to it")
		}
	}
}

func (c *checker) checkService(s *routing.Service) {
	subject := "service " + s.Name
	if s.MaxConnections < 0 {
		c.add(Error, subject, "%d connections are allowed", s.MaxConnections)
	}
	if s.Engine != nil {
		c.checkEngine(s.Engine, subject)
	}
}

func (c *checker) checkEngine(e *dispatch.Engine, subject string) {
	for name, value := range map[string]float64{"slots": float64(e.Slots), "memory": float64(e.MemoryTokens), "chunk": float64(e.ChunkTokens), "steps of a pass": float64(e.StepsPerPass),
		"prefill speed": e.PrefillTokensPerMilli} {
		if value <= 0 {
			c.add(Error, subject, "the engine's %s is %g", name, value)
		}
	}
	if e.ChunkTokens > e.MemoryTokens {
		c.add(Error, subject, "a chunk of %d tokens exceeds the engine's memory of %d", e.ChunkTokens, e.MemoryTokens)
	}
}

// checkAccounts finds keys of several accounts and accounts that no request can have.
func (c *checker) checkAccounts() {
	owner := map[string]string{}
	for _, a := range c.config.Accounts {
		subject := "account " + a.Name
		if len(a.Keys) == 0 {
			c.add(Warning, subject, "it has no key, so no request can be its own")
		}
		for i, key := range a.Keys {
			other, taken := owner[key]
			switch {
			case strings.TrimSpace(key) == "":
				c.add(Error, subject, "key %d is empty", i+1)
			case taken && other == a.Name:
				c.add(Warning, subject, "key %d stands twice", i+1)
			case taken:
				c.add(Error, subject, "key %d is also one of account %s", i+1, other)
			}
			owner[key] = a.Name
		}
	}
	if len(c.config.Accounts) > 0 && !slices.ContainsFunc(c.config.Routes, func(r routing.Route) bool { return !r.Public }) {
		c.add(Warning, "accounts", "all routes are public, so the accounts have no effect")
	}
}

// checkRegions finds restrictions to regions that leave no server.
func (c *checker) checkRegions(regions []string) {
	check := func(subject string, allowed []string) {
		for _, region := range allowed {
			if len(regions) > 0 && !slices.Contains(regions, region) {
				c.add(Error, subject, "region %q has no data centre", region)
			}
		}
	}
	for _, a := range c.config.Accounts {
		check("account "+a.Name, a.Regions)
	}
	for _, r := range c.config.Routes {
		check("route "+r.Name, r.Regions)
		if r.Public || len(r.Regions) == 0 {
			continue
		}
		for _, a := range c.config.Accounts {
			common := slices.ContainsFunc(r.Regions, func(region string) bool { return slices.Contains(a.Regions, region) })
			if len(a.Regions) > 0 && !common {
				c.add(Warning, "route "+r.Name, "account %s shares no region with it, so its requests are refused", a.Name)
			}
		}
	}
}

// minHeadBytes is the least limit on heads that leaves room for the headers of a request.
const minHeadBytes = 1 << 10

func (c *checker) checkLimits() {
	l := c.config.Limits
	for name, value := range map[string]int64{"header bytes": int64(l.HeaderBytes), "body bytes": int64(l.BodyBytes), "header timeout": int64(l.HeaderTimeout), "idle timeout": int64(l.IdleTimeout)} {
		if value < 0 {
			c.add(Error, "limits", "the limit of the %s is below 0", name)
		}
	}
	if l.HeaderBytes > 0 && l.HeaderBytes < minHeadBytes {
		c.add(Warning, "limits", "%d header bytes leave no room for the headers of a request", l.HeaderBytes)
	}
	longest := time.Duration(0)
	for _, r := range c.config.Routes {
		longest = max(longest, r.Timeout)
	}
	if l.HeaderTimeout > longest && longest > 0 {
		c.add(Warning, "limits", "the header timeout %v is beyond the longest timeout of a route, %v", l.HeaderTimeout, longest)
	}
}
