package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
)

// Limits of numeric settings. maxCount bounds the requests queued, the calls and
// the model loads in progress.
const (
	maxTimeoutMillis   = 24 * 60 * 60 * 1000
	maxDrainSeconds    = 24 * 60 * 60
	minBodyBytes       = 4 << 10
	maxBodyBytes       = 15 << 20 // must fit in a message between processes
	maxCount           = 1 << 20
	minLeaseMillis     = 500
	maxLeaseMillis     = 10 * 60 * 1000
	maxModelsPerEngine = 1000
	minMemoryMB        = 32
	minMaxFiles        = 256
	maxMemoryMB        = 1 << 20
	// minRetryWindowSeconds and maxSeconds keep a time within the range of
	// time.Duration, also after it is divided into the slots of a window.
	minRetryWindowSeconds = 0.1
	maxSeconds            = 24 * 60 * 60
)

// sha256HexLength is the length of a SHA-256 hash in hex digits.
const sha256HexLength = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker keeps the first invalid setting of a file.
type checker struct {
	file string
	err  *Error
}

func (c *checker) fail(field, value, allowed string) {
	if c.err == nil {
		c.err = &Error{File: c.file, Field: field, Value: value, Allowed: allowed}
	}
}

// check returns an *Error for the first invalid setting, or nil.
func (s *Settings) check(file string) error {
	c := &checker{file: file}
	c.name("vm", s.VM)
	c.name("data_centre", s.DataCentre)
	c.address("control_address", s.ControlAddress)
	c.address("advertise_address", s.AdvertiseAddress)
	c.address("ops_address", s.OpsAddress)
	c.oneOf("log_level", s.LogLevel, "debug", "info", "warn", "error")
	c.between("drain_limit_s", s.DrainLimitSeconds, 1, maxDrainSeconds)
	s.checkTLS(c)
	s.checkPlatform(c)
	s.checkRole(c)
	if s.Trace.OTLPURL != "" {
		c.url("trace.otlp_url", s.Trace.OTLPURL)
	}
	if c.err != nil {
		return c.err
	}
	return nil
}

func (s *Settings) checkTLS(c *checker) {
	switch {
	case s.TLS == nil && !s.InsecurePlaintext:
		c.fail("tls", "", `an object, or "insecure_plaintext": true`)
	case s.TLS != nil && s.InsecurePlaintext:
		c.fail("insecure_plaintext", "true", "false when tls is set")
	case s.TLS != nil:
		c.nonEmpty("tls.cert_file", s.TLS.CertFile)
		c.nonEmpty("tls.key_file", s.TLS.KeyFile)
		c.nonEmpty("tls.ca_file", s.TLS.CAFile)
	}
}

func (s *Settings) checkPlatform(c *checker) {
	c.url("platform.url", s.Platform.URL)
	c.between("platform.timeout_ms", s.Platform.TimeoutMillis, 1, maxTimeoutMillis)
	c.between("platform.vm_poll_ms", s.Platform.VMPollMillis, 10, maxTimeoutMillis)
	for i, peer := range s.Platform.Peers {
		field := fmt.Sprintf("platform.peers[%d]", i)
		c.name(field+".vm", peer.VM)
		c.name(field+".data_centre", peer.DataCentre)
		c.address(field+".address", peer.Address)
		c.oneOf(field+".role", string(peer.Role), string(RoleEntry), string(RoleAgent))
	}
}

func (s *Settings) checkRole(c *checker) {
	c.oneOf("role", string(s.Role), string(RoleEntry), string(RoleAgent), string(RoleGateway))
	switch s.Role {
	case RoleEntry:
		if s.Entry == nil {
			c.fail("entry", "", `an object when "role" is "entry"`)
			return
		}
		s.Entry.check(c)
	case RoleAgent:
		if s.Agent == nil {
			c.fail("agent", "", `an object when "role" is "agent"`)
			return
		}
		s.Agent.check(c)
	case RoleGateway:
		if s.Gateway == nil {
			c.fail("gateway", "", `an object when "role" is "gateway"`)
			return
		}
		s.Gateway.check(c)
	}
}

func (g *Gateway) check(c *checker) {
	c.address("gateway.callers_address", g.CallersAddress)
	c.between("gateway.memory_mb", g.MemoryMB, minMemoryMB, maxMemoryMB)
	if g.MaxFiles != 0 {
		c.between("gateway.max_files", g.MaxFiles, minMaxFiles, maxCount)
	}
	c.positive("gateway.retry_ratio", g.RetryRatio)
	c.positive("gateway.retry_extra", g.RetryExtra)
	c.betweenSeconds("gateway.retry_window_s", g.RetryWindowSeconds, minRetryWindowSeconds, maxSeconds)
	c.positive("gateway.grace_s", g.GraceSeconds)
	c.betweenSeconds("gateway.grace_s", g.GraceSeconds, 0, maxSeconds)
	c.between("gateway.unused_memory_ms", g.UnusedMemoryMillis, 0, maxTimeoutMillis)
	c.between("gateway.drain_ms", g.DrainMillis, 0, maxTimeoutMillis)
	c.between("gateway.config_deadline_ms", g.ConfigDeadlineMillis, 0, maxTimeoutMillis)
	c.between("gateway.evacuation_ms", g.EvacuationMillis, 0, maxTimeoutMillis)
}

func (c *checker) positive(field string, value float64) {
	if value <= 0 {
		c.fail(field, strconv.FormatFloat(value, 'g', -1, 64), "a number above 0")
	}
}

// betweenSeconds checks a number of seconds with an optional fraction.
func (c *checker) betweenSeconds(field string, value, low, high float64) {
	if value < low || value > high {
		c.fail(field, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("%g to %g", low, high))
	}
}

func (e *Entry) check(c *checker) {
	c.address("entry.callers_address", e.CallersAddress)
	c.address("entry.admin_address", e.AdminAddress)
	if len(e.AdminKeyHashes) == 0 {
		c.fail("entry.admin_key_sha256", "[]", "at least one SHA-256 hash in hex")
	}
	for i, hash := range e.AdminKeyHashes {
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != sha256HexLength {
			c.fail(fmt.Sprintf("entry.admin_key_sha256[%d]", i), hash, "a SHA-256 hash in hex")
		}
	}
	c.between("entry.max_timeout_ms", e.MaxTimeoutMillis, 1, maxTimeoutMillis)
	c.between("entry.default_timeout_ms", e.DefaultTimeoutMillis, 1, e.MaxTimeoutMillis)
	c.between("entry.max_body_bytes", e.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	if e.MemoryMB != 0 {
		c.between("entry.memory_mb", e.MemoryMB, minMemoryMB, maxMemoryMB)
	}
	if e.MaxFiles != 0 {
		c.between("entry.max_files", e.MaxFiles, minMaxFiles, maxCount)
	}
	c.between("entry.unready_ms", e.UnreadyMillis, 0, maxTimeoutMillis)
	if p := e.Placement; p != nil {
		c.between("entry.placement.lease_ms", p.LeaseMillis, minLeaseMillis, maxLeaseMillis)
		c.between("entry.placement.interval_ms", p.IntervalMillis, 10, p.LeaseMillis/2)
		c.between("entry.placement.max_loads", p.MaxLoads, 1, maxCount)
		c.between("entry.placement.models_per_engine", p.ModelsPerEngine, 2, maxModelsPerEngine)
	}
}

func (a *Agent) check(c *checker) {
	if (a.Engine == nil) == (a.Service == nil) {
		c.fail("agent", "", `exactly one of "engine" and "service"`)
	}
	c.between("agent.orphan_grace_ms", a.OrphanGraceMillis, 1, maxTimeoutMillis)
	if e := a.Engine; e != nil {
		c.url("agent.engine.url", e.URL)
		c.between("agent.engine.max_queued", e.MaxQueued, 1, maxCount)
		if e.LongKVShare <= 0 || e.LongKVShare > 1 {
			c.fail("agent.engine.long_kv_share", fmt.Sprint(e.LongKVShare), "more than 0, at most 1")
		}
	}
	if s := a.Service; s != nil {
		c.name("agent.service.name", s.Name)
		c.url("agent.service.url", s.URL)
		c.between("agent.service.max_concurrent", s.MaxConcurrent, 1, maxCount)
	}
}

func (c *checker) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.fail(field, value, "1 to 63 letters, digits, dots, underscores and hyphens")
	}
}

func (c *checker) nonEmpty(field, value string) {
	if value == "" {
		c.fail(field, value, "a file name")
	}
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(field, value, "an IP address and port such as 192.0.2.1:7000")
	}
}

func (c *checker) url(field, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.fail(field, value, "an http or https URL")
	}
}

func (c *checker) between(field string, value, low, high int) {
	if value < low || value > high {
		c.fail(field, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) oneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.fail(field, value, fmt.Sprintf("one of %q", allowed))
}
