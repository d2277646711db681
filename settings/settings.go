// Package settings loads and validates the settings file of a daemon. The file
// is a process's only source for its addresses and data centre, so mistakes are
// detected before any port is opened: unknown fields, wrong types and invalid
// values are rejected with the file, the field, the value and what is allowed.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// Role selects what a daemon does.
type Role string

// Roles of a daemon.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
	// RoleGateway is an entry that serves the protocol of the users' platform.
	RoleGateway Role = "gateway"
)

// Settings is the content of a settings file.
type Settings struct {
	// VM is the platform's name for the VM that the process runs on.
	VM         string `json:"vm"`
	Role       Role   `json:"role"`
	DataCentre string `json:"data_centre"`
	// ControlAddress is the IP:port for sessions between processes.
	ControlAddress string `json:"control_address"`
	// AdvertiseAddress is the IP:port at which peers reach ControlAddress; it
	// defaults to ControlAddress.
	AdvertiseAddress string `json:"advertise_address,omitempty"`
	// OpsAddress is the IP:port that serves health, readiness and metrics.
	OpsAddress string `json:"ops_address"`
	// TLS secures the sessions between processes.
	TLS *TLS `json:"tls,omitempty"`
	// InsecurePlaintext permits sessions without TLS.
	InsecurePlaintext bool     `json:"insecure_plaintext,omitempty"`
	Platform          Platform `json:"platform"`
	LogLevel          string   `json:"log_level,omitempty"`
	Trace             Trace    `json:"trace,omitempty"`
	// DrainLimitSeconds bounds the duration of a graceful stop.
	DrainLimitSeconds int      `json:"drain_limit_s,omitempty"`
	Entry             *Entry   `json:"entry,omitempty"`
	Agent             *Agent   `json:"agent,omitempty"`
	Gateway           *Gateway `json:"gateway,omitempty"`
}

// Gateway holds the settings of the gateway role.
type Gateway struct {
	// CallersAddress is the IP:port of the callers' API.
	CallersAddress string `json:"callers_address"`
	// MemoryMB is the memory of the VM that the process may use, in MB.
	MemoryMB int `json:"memory_mb"`
	// MaxFiles is the number of descriptors that the process may have; 0 means as many as
	// the kernel allows it.
	MaxFiles int `json:"max_files,omitempty"`
	// RetryRatio and RetryExtra limit the retries to a service, summed over all
	// gateways, to RetryRatio x requests + RetryExtra per RetryWindowSeconds.
	RetryRatio         float64 `json:"retry_ratio"`
	RetryExtra         float64 `json:"retry_extra"`
	RetryWindowSeconds float64 `json:"retry_window_s"`
	// GraceSeconds is the time from SIGTERM to SIGKILL.
	GraceSeconds float64 `json:"grace_s"`
	// UnusedMemoryMillis limits how long engine memory stays reserved for a
	// request whose answer has not started; 0 means no limit.
	UnusedMemoryMillis int `json:"unused_memory_ms,omitempty"`
	// DrainMillis is how long a draining server may still get requests; 0 means 2 s.
	DrainMillis int `json:"drain_ms,omitempty"`
	// ConfigDeadlineMillis is how long after its write a configuration may come into force;
	// 0 means 2 s.
	ConfigDeadlineMillis int `json:"config_deadline_ms,omitempty"`
	// EvacuationMillis is how long after the evacuation of a data centre its servers may
	// still get requests; 0 means that data centres are not evacuated.
	EvacuationMillis int `json:"evacuation_ms,omitempty"`
	// Regions are the regions of the data centres, by name. Without them the regions that
	// routes and accounts are restricted to are not enforced.
	Regions map[string]string `json:"regions,omitempty"`
}

// TLS names the PEM files of the process's certificate and key and of the CA of
// the installation.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// Platform describes how to reach the platform's services.
type Platform struct {
	URL           string `json:"url"`
	TimeoutMillis int    `json:"timeout_ms,omitempty"`
	// VMPollMillis is the interval between reads of the VM list.
	VMPollMillis int `json:"vm_poll_ms,omitempty"`
	// Peers lists processes to contact while the VM list cannot be read, so
	// that a new VM can join the other processes during a platform outage.
	Peers []Peer `json:"peers,omitempty"`
}

// Peer is a process that is known without the VM list.
type Peer struct {
	VM         string `json:"vm"`
	Role       Role   `json:"role"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
}

// Trace selects where spans are exported. If neither field is set, spans are
// not exported and only propagate trace ids.
type Trace struct {
	// OTLPURL is the HTTP endpoint of an OpenTelemetry collector.
	OTLPURL string `json:"otlp_url,omitempty"`
	// Log writes each span as a log line.
	Log bool `json:"log,omitempty"`
}

// Entry holds the settings of the entry role.
type Entry struct {
	// CallersAddress is the IP:port of the callers' API.
	CallersAddress string `json:"callers_address"`
	// AdminAddress is the IP:port of the administration API.
	AdminAddress string `json:"admin_address"`
	// AdminKeyHashes are SHA-256 hashes in hex of the operators' keys.
	AdminKeyHashes []string `json:"admin_key_sha256"`
	// DefaultTimeoutMillis applies to requests without a timeout.
	DefaultTimeoutMillis int `json:"default_timeout_ms,omitempty"`
	// MaxTimeoutMillis is the longest timeout that a caller may request.
	MaxTimeoutMillis int `json:"max_timeout_ms,omitempty"`
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int `json:"max_body_bytes,omitempty"`
	// MemoryMB is the memory that the process may use, in MB; 0 means that of GOMEMLIMIT,
	// or all that the VM has. MaxFiles is the number of descriptors; 0 means as many as the
	// kernel allows.
	MemoryMB int `json:"memory_mb,omitempty"`
	MaxFiles int `json:"max_files,omitempty"`
	// UnreadyMillis is the delay between reporting unready and closing the
	// callers' port, so that the load balancer removes the entry first.
	UnreadyMillis int `json:"unready_ms,omitempty"`
	// Placement enables the placement of models, which are configured by the
	// items "model/<name>" of the configuration.
	Placement *Placement `json:"placement,omitempty"`
}

// Placement configures the placement of models on engines. It must be the same
// on all entries.
type Placement struct {
	// LeaseMillis is the time after which another entry takes over from an
	// unresponsive one that decides the placement.
	LeaseMillis int `json:"lease_ms,omitempty"`
	// IntervalMillis is the time between two placement decisions.
	IntervalMillis int `json:"interval_ms,omitempty"`
	// MaxLoads bounds the model loads in progress on all engines together.
	MaxLoads int `json:"max_loads,omitempty"`
	// ModelsPerEngine is the number of models that fit on one engine.
	ModelsPerEngine int `json:"models_per_engine,omitempty"`
}

// Agent holds the settings of the agent role, which serves exactly one backend
// server: an engine or a service.
type Agent struct {
	Engine  *Engine  `json:"engine,omitempty"`
	Service *Service `json:"service,omitempty"`
	// OrphanGraceMillis is how long work continues after its entry was lost.
	OrphanGraceMillis int `json:"orphan_grace_ms,omitempty"`
}

// Engine describes the agent's model engine.
type Engine struct {
	URL string `json:"url"`
	// LongKVShare is the share of KV-cache memory that long prompts may hold
	// while short ones wait.
	LongKVShare float64 `json:"long_kv_share,omitempty"`
	// MaxQueued bounds the requests queued in the agent.
	MaxQueued int `json:"max_queued,omitempty"`
}

// Service describes the agent's plain order service.
type Service struct {
	Name string `json:"name"`
	URL  string `json:"url"`
	// CallerTokenFile names the file with the token that the service requires;
	// empty if it requires none.
	CallerTokenFile string `json:"caller_token_file,omitempty"`
	// MaxConcurrent bounds the calls in progress.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

// Defaults of optional settings.
const (
	defaultPlatformTimeout = 2 * time.Second
	defaultVMPoll          = 5 * time.Second
	defaultDrainLimit      = 15 * time.Minute
	defaultTimeout         = 10 * time.Minute
	defaultMaxTimeout      = time.Hour
	defaultMaxBodyBytes    = 12 << 20 // a million tokens of text are about 4 MB
	defaultUnready         = 2 * time.Second
	defaultOrphanGrace     = 30 * time.Second
	defaultLongKVShare     = 0.7
	defaultMaxQueued       = 4096
	defaultMaxConcurrent   = 64

	defaultLease             = 10 * time.Second
	defaultPlacementInterval = time.Second
	defaultMaxLoads          = 4
	defaultModelsPerEngine   = 2
)

// Error reports an invalid settings file.
type Error struct {
	File    string
	Field   string
	Value   string
	Allowed string
	Cause   error
}

func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", e.File, e.Cause)
	}
	return fmt.Sprintf("%s: field %q has value %q; allowed: %s", e.File, e.Field, e.Value, e.Allowed)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Load reads a settings file, applies defaults and validates it. Errors are
// *Error.
func Load(path string) (*Settings, error) {
	data, err := Read(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Read returns the content of a settings file for Parse. Errors are *Error.
func Read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Cause: fmt.Errorf("read settings: %w", err)}
	}
	return data, nil
}

// Parse is like Load for the content of a file; path is used in errors.
func Parse(path string, data []byte) (*Settings, error) {
	if len(bytes.TrimSpace(data)) == 0 {
		return nil, &Error{File: path, Field: wholeFile, Value: "(empty)", Allowed: "one JSON object"}
	}
	s := &Settings{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, decodeError(path, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &Error{File: path, Field: "(end of file)", Value: "more data", Allowed: "one JSON object"}
	}
	s.applyDefaults()
	if err := s.check(path); err != nil {
		return nil, err
	}
	return s, nil
}

// wholeFile is the field name in errors about the file as a whole.
const wholeFile = "(whole file)"

// decodeError converts a JSON error to an Error, with the field if the type of
// a value is wrong.
func decodeError(path string, err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		field := typeError.Field
		if field == "" {
			field = wholeFile
		}
		return &Error{File: path, Field: field, Value: typeError.Value, Allowed: "a value of type " + typeError.Type.String()}
	}
	return &Error{File: path, Cause: fmt.Errorf("decode settings: %w", err)}
}

// applyDefaults sets optional settings that are missing.
func (s *Settings) applyDefaults() {
	setDefault(&s.Platform.TimeoutMillis, millis(defaultPlatformTimeout))
	setDefault(&s.Platform.VMPollMillis, millis(defaultVMPoll))
	setDefault(&s.DrainLimitSeconds, int(defaultDrainLimit/time.Second))
	setDefault(&s.LogLevel, "info")
	setDefault(&s.AdvertiseAddress, s.ControlAddress)
	if e := s.Entry; e != nil {
		setDefault(&e.DefaultTimeoutMillis, millis(defaultTimeout))
		setDefault(&e.MaxTimeoutMillis, millis(defaultMaxTimeout))
		setDefault(&e.MaxBodyBytes, defaultMaxBodyBytes)
		setDefault(&e.UnreadyMillis, millis(defaultUnready))
		if p := e.Placement; p != nil {
			setDefault(&p.LeaseMillis, millis(defaultLease))
			setDefault(&p.IntervalMillis, millis(defaultPlacementInterval))
			setDefault(&p.MaxLoads, defaultMaxLoads)
			setDefault(&p.ModelsPerEngine, defaultModelsPerEngine)
		}
	}
	if a := s.Agent; a != nil {
		setDefault(&a.OrphanGraceMillis, millis(defaultOrphanGrace))
		if a.Engine != nil {
			setDefault(&a.Engine.LongKVShare, defaultLongKVShare)
			setDefault(&a.Engine.MaxQueued, defaultMaxQueued)
		}
		if a.Service != nil {
			setDefault(&a.Service.MaxConcurrent, defaultMaxConcurrent)
		}
	}
}

func millis(d time.Duration) int { return int(d / time.Millisecond) }

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// DrainLimit returns the longest duration of a graceful stop.
func (s *Settings) DrainLimit() time.Duration {
	return time.Duration(s.DrainLimitSeconds) * time.Second
}
