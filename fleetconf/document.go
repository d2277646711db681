// Package fleetconf holds the configuration of the fleet: client accounts with
// their plans, the models, services and limits of each plan, VM marks, and the
// models for placement. Edits are committed to the platform's key-value service.
// Every process reads from a replica in memory, so that requests are served
// while the store is down.
//
// The store holds one value, the head, with the latest edits and a reference to the
// base snapshot: the complete configuration at an earlier revision. A commit
// replaces the head by compare-and-swap. Some entries, the watchers, follow the head
// in the store and pass its edits on to the other processes.
//
// Lock order: Replica.mu and Tracker.mu are leaf locks. While one is held, no
// other lock is taken and the store is not called.
package fleetconf

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Prefixes of item keys.
const (
	ClientPrefix = "client/"
	PlanPrefix   = "plan/"
	MarkPrefix   = "mark/"
	ModelPrefix  = "model/"
)

// Limits of one item. They keep the head and snapshots within their own limits.
const (
	// MaxNameBytes is the maximum length of a name, for example of an account,
	// a plan or a VM.
	MaxNameBytes = 128
	// MaxItemBytes is the maximum size of the JSON document of one item.
	MaxItemBytes = 64 << 10
	// keyHashBytes is the size of a SHA-256 hash.
	keyHashBytes = 32
	// maxWeight prevents overflow in products of weights and token counts.
	maxWeight = 1_000_000
)

// Client is the document of a client account.
type Client struct {
	Plan string `json:"plan"`
	// KeyHashes are the SHA-256 hashes of the API keys in lower-case hex.
	KeyHashes []string `json:"key_hashes"`
	Disabled  bool     `json:"disabled,omitempty"`
}

// Plan is the document of a plan: the models and services that its accounts may
// use, and their limits.
type Plan struct {
	Models   []string      `json:"models,omitempty"`
	Services []PlanService `json:"services,omitempty"`
	// RequestsPerSecond and TokensPerSecond are limits per account. For each of
	// them, 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
	// Concurrency is the maximum number of requests in flight per account; 0
	// means no limit.
	Concurrency int `json:"concurrency,omitempty"`
	// MaxPromptTokens is the maximum prompt length in tokens; 0 means no limit.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// Weight determines the share of an account under load, relative to other
	// accounts; 0 means 1.
	Weight int `json:"weight,omitempty"`
}

// PlanService is a plain service that the accounts of a plan may call.
type PlanService struct {
	Name string `json:"name"`
	// Idempotent lists the operations that may be retried. Every other
	// operation is an order and needs an order key.
	Idempotent []Operation `json:"idempotent,omitempty"`
}

// Operation selects calls by method and path prefix.
type Operation struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// MarkState is the state that an operator sets for a VM.
type MarkState string

// States of a marked VM.
const (
	Leaving  MarkState = "leaving"
	Stopping MarkState = "stopping"
)

// Mark is the document of a VM mark.
type Mark struct {
	State MarkState `json:"state"`
}

// Model is the document of a model that placement may load. Plans list the models
// that callers may use; this item defines what is loaded for them.
type Model struct {
	// Version to load; empty accepts the version that an engine has loaded.
	Version  string         `json:"version,omitempty"`
	Adapters []ModelAdapter `json:"adapters,omitempty"`
	// Role to assign to the engines of the model; empty leaves their role
	// unchanged.
	Role string `json:"role,omitempty"`
}

// ModelAdapter is an adapter that is loaded with its model. Callers request it as
// "model/adapter".
type ModelAdapter struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
}

// Service returns the service with the given name.
func (p *Plan) Service(name string) (*PlanService, bool) {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i], true
		}
	}
	return nil, false
}

// AllowsModel reports whether the plan may use the model.
func (p *Plan) AllowsModel(model string) bool {
	for _, m := range p.Models {
		if m == model {
			return true
		}
	}
	return false
}

// EffectiveWeight returns the weight, at least 1.
func (p *Plan) EffectiveWeight() int { return max(p.Weight, 1) }

// IsIdempotent reports whether a call may be retried. A prefix matches complete
// path segments only, so that "/quotes" does not match "/quotes-and-orders". A
// path with dot segments or encoded separators never matches, because a backend
// server could resolve it to another operation.
func (s *PlanService) IsIdempotent(method, path string) bool {
	if ambiguousPath(path) {
		return false
	}
	for _, o := range s.Idempotent {
		if o.Method == method && hasPathPrefix(path, o.PathPrefix) {
			return true
		}
	}
	return false
}

func ambiguousPath(path string) bool {
	return strings.Contains(path, "/.") || strings.Contains(path, "//") || strings.ContainsAny(path, "%\\;")
}

func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/' || rest[0] == '?'
}

// ValidationError reports an invalid item. Field is the JSON path of the invalid
// field, or empty if the error concerns the item as a whole.
type ValidationError struct {
	Item, Field, Reason string
}

func (e *ValidationError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("item %q: %s", e.Item, e.Reason)
	}
	return fmt.Sprintf("item %q, field %q: %s", e.Item, e.Field, e.Reason)
}

func invalid(item, field, format string, args ...any) error {
	return &ValidationError{Item: item, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// ParseItem decodes the document of an item and validates it independently of
// other items. It returns a *Client, *Plan, *Mark or *Model, or a
// *ValidationError.
func ParseItem(key string, value []byte) (any, error) {
	return parseItem(key, value, true)
}

// parseItem rejects unknown fields if strict is set. Replicas ignore them, because
// an older version must be able to apply edits that a newer version accepted.
func parseItem(key string, value []byte, strict bool) (any, error) {
	if len(value) > MaxItemBytes {
		return nil, invalid(key, "", "the document has %d bytes, at most %d are allowed", len(value), MaxItemBytes)
	}
	prefix, name, _ := strings.Cut(key, "/")
	if err := checkName(key, "", name); err != nil {
		return nil, err
	}
	switch prefix + "/" {
	case ClientPrefix:
		return parseClient(key, value, strict)
	case PlanPrefix:
		return parsePlan(key, value, strict)
	case MarkPrefix:
		return parseMark(key, value, strict)
	case ModelPrefix:
		return parseModel(key, value, strict)
	}
	return nil, invalid(key, "", "the key must start with %q, %q, %q or %q", ClientPrefix, PlanPrefix, MarkPrefix, ModelPrefix)
}

func decodeDocument(key string, value []byte, strict bool, into any) error {
	d := json.NewDecoder(bytes.NewReader(value))
	if strict {
		d.DisallowUnknownFields()
	}
	if err := d.Decode(into); err != nil {
		return invalid(key, "", "not a valid document: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return invalid(key, "", "data after the document")
	}
	return nil
}

func parseClient(key string, value []byte, strict bool) (*Client, error) {
	c := &Client{}
	if err := decodeDocument(key, value, strict, c); err != nil {
		return nil, err
	}
	if err := checkName(key, "plan", c.Plan); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i, h := range c.KeyHashes {
		field := fmt.Sprintf("key_hashes[%d]", i)
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != keyHashBytes || h != strings.ToLower(h) {
			return nil, invalid(key, field, "must be a SHA-256 hash of 64 lower-case hex digits")
		}
		if seen[h] {
			return nil, invalid(key, field, "is listed twice")
		}
		seen[h] = true
	}
	return c, nil
}

func parsePlan(key string, value []byte, strict bool) (*Plan, error) {
	p := &Plan{}
	if err := decodeDocument(key, value, strict, p); err != nil {
		return nil, err
	}
	if err := checkModelNames(key, p.Models); err != nil {
		return nil, err
	}
	if err := checkServices(key, p.Services); err != nil {
		return nil, err
	}
	return p, checkLimits(key, p)
}

func checkLimits(key string, p *Plan) error {
	for _, l := range []struct {
		field string
		value float64
	}{
		{"requests_per_second", p.RequestsPerSecond},
		{"tokens_per_second", p.TokensPerSecond},
		{"concurrency", float64(p.Concurrency)},
		{"max_prompt_tokens", float64(p.MaxPromptTokens)},
		{"weight", float64(p.Weight)},
	} {
		if l.value < 0 {
			return invalid(key, l.field, "must not be negative")
		}
	}
	if p.Weight > maxWeight {
		return invalid(key, "weight", "must be at most %d", maxWeight)
	}
	return nil
}

func checkServices(key string, services []PlanService) error {
	names := make([]string, len(services))
	for i, s := range services {
		names[i] = s.Name
		for j, o := range s.Idempotent {
			field := fmt.Sprintf("services[%d].idempotent[%d]", i, j)
			if o.Method == "" || o.Method != strings.ToUpper(o.Method) {
				return invalid(key, field+".method", "must be an upper-case HTTP method")
			}
			if !strings.HasPrefix(o.PathPrefix, "/") || ambiguousPath(o.PathPrefix) {
				return invalid(key, field+".path_prefix", "must start with / and be a plain path")
			}
		}
	}
	return checkNames(key, "services", names)
}

func parseMark(key string, value []byte, strict bool) (*Mark, error) {
	m := &Mark{}
	if err := decodeDocument(key, value, strict, m); err != nil {
		return nil, err
	}
	if m.State != Leaving && m.State != Stopping {
		return nil, invalid(key, "state", "must be %q or %q", Leaving, Stopping)
	}
	return m, nil
}

func parseModel(key string, value []byte, strict bool) (*Model, error) {
	m := &Model{}
	if err := decodeDocument(key, value, strict, m); err != nil {
		return nil, err
	}
	if err := checkOptionalName(key, "version", m.Version); err != nil {
		return nil, err
	}
	if err := checkOptionalName(key, "role", m.Role); err != nil {
		return nil, err
	}
	names := make([]string, len(m.Adapters))
	for i, a := range m.Adapters {
		names[i] = a.Name
		if err := checkOptionalName(key, fmt.Sprintf("adapters[%d].version", i), a.Version); err != nil {
			return nil, err
		}
	}
	return m, checkNames(key, "adapters", names)
}

func checkOptionalName(key, field, name string) error {
	if name == "" {
		return nil
	}
	return checkName(key, field, name)
}

// checkModelNames accepts unique names of the form "model" or "model/adapter".
func checkModelNames(key string, names []string) error {
	seen := map[string]bool{}
	for i, n := range names {
		field := fmt.Sprintf("models[%d]", i)
		model, adapter, found := strings.Cut(n, "/")
		if err := checkName(key, field, model); err != nil {
			return err
		}
		if found {
			if err := checkName(key, field, adapter); err != nil {
				return err
			}
		}
		if seen[n] {
			return invalid(key, field, "%q is listed twice", n)
		}
		seen[n] = true
	}
	return nil
}

func checkNames(key, field string, names []string) error {
	seen := map[string]bool{}
	for i, n := range names {
		f := fmt.Sprintf("%s[%d]", field, i)
		if err := checkName(key, f, n); err != nil {
			return err
		}
		if seen[n] {
			return invalid(key, f, "%q is listed twice", n)
		}
		seen[n] = true
	}
	return nil
}

// checkName accepts printable ASCII without spaces and slashes, so that names can
// be used unescaped in keys, URLs and log lines.
func checkName(key, field, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return invalid(key, field, "a name must have 1 to %d bytes", MaxNameBytes)
	}
	for _, r := range name {
		if r <= ' ' || r > '~' || r == '/' {
			return invalid(key, field, "the name %q may have only printable ASCII without spaces and slashes", name)
		}
	}
	return nil
}
