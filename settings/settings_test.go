package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validEntry = `{
	"vm": "entry-1", "role": "entry", "data_centre": "muscat-1",
	"control_address": "127.0.0.1:7000", "ops_address": "127.0.0.1:7001",
	"insecure_plaintext": true,
	"platform": {"url": "http://127.0.0.1:7100"},
	"entry": {"callers_address": "127.0.0.1:8000", "admin_address": "127.0.0.1:8001",
		"admin_key_sha256": ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]}
}`

func TestParseAppliesDefaults(t *testing.T) {
	// Guards against a missing setting that stays 0 or empty.
	is := is.New(t)
	s, err := Parse("entry.json", []byte(validEntry))
	is.NoErr(err)
	is.Equal(s.Entry.MaxBodyBytes, defaultMaxBodyBytes)
	is.Equal(s.AdvertiseAddress, "127.0.0.1:7000")
}

// Guards against a daemon that starts with an invalid setting, and against
// errors without the file, the field or the allowed values.
func TestParseRejectsInvalidSettings(t *testing.T) {
	cases := []struct{ name, old, new, field string }{
		{"bad name", `"entry-1"`, `"entry 1"`, "vm"},
		{"bad address", `"127.0.0.1:7000"`, `"localhost:7000"`, "control_address"},
		{"port out of range", `"127.0.0.1:7000"`, `"127.0.0.1:70000"`, "control_address"},
		{"wrong role", `"entry", "data`, `"proxy", "data`, "role"},
		{"wrong type", `"entry-1"`, `17`, "vm"},
		{"no transport security", `"insecure_plaintext": true,`, ``, "tls"},
		{"bad URL", `"http://127.0.0.1:7100"`, `"ftp://x"`, "platform.url"},
		{"short hash", `b7852b855"`, `"`, "entry.admin_key_sha256[0]"},
		{"lease too short", `"admin_address"`, `"placement": {"lease_ms": 10}, "admin_address"`, "entry.placement.lease_ms"},
		{"interval too long for the lease", `"admin_address"`, `"placement": {"lease_ms": 1000, "interval_ms": 600}, "admin_address"`, "entry.placement.interval_ms"},
		{"one model per engine", `"admin_address"`, `"placement": {"models_per_engine": 1}, "admin_address"`, "entry.placement.models_per_engine"},
		{"negative limit", `"admin_address"`, `"max_body_bytes": -1, "admin_address"`, "entry.max_body_bytes"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("entry.json", []byte(strings.Replace(validEntry, tc.old, tc.new, 1)))
			var settingsErr *Error
			is.True(errors.As(err, &settingsErr))
			is.Equal(settingsErr.Field, tc.field)
			is.Equal(settingsErr.File, "entry.json")
			is.True(settingsErr.Allowed != "")
		})
	}
}

const validGateway = `{
	"vm": "gateway-1", "role": "gateway", "data_centre": "muscat-1",
	"control_address": "127.0.0.1:7000", "ops_address": "127.0.0.1:7001",
	"insecure_plaintext": true, "platform": {"url": "http://127.0.0.1:7100"},
	"gateway": {"callers_address": "127.0.0.1:8000", "memory_mb": 284, "retry_ratio": 0.2, "retry_extra": 100,
		"retry_window_s": 10, "grace_s": 8}
}`

func TestGatewaySettings(t *testing.T) {
	// Guards against a gateway that starts with an invalid setting.
	is := is.New(t)
	s, err := Parse("gateway.json", []byte(validGateway))
	is.NoErr(err)
	is.Equal(s.Gateway.RetryExtra, 100.0)
	for _, tc := range []struct{ name, old, new, field string }{
		{"no section", `"gateway": {`, `"agent": {}, "ignored": {`, ""}, // fails on the unknown section instead; such an error has no Field
		{"bad address", `"127.0.0.1:8000"`, `"8000"`, "gateway.callers_address"},
		{"no memory", `284`, `0`, "gateway.memory_mb"},
		{"negative ratio", `"retry_ratio": 0.2`, `"retry_ratio": -1`, "gateway.retry_ratio"},
		{"no window", `"retry_window_s": 10`, `"retry_window_s": 0`, "gateway.retry_window_s"},
		{"window without slots", `"retry_window_s": 10`, `"retry_window_s": 1e-9`, "gateway.retry_window_s"},
		{"window that overflows", `"retry_window_s": 10`, `"retry_window_s": 1e300`, "gateway.retry_window_s"},
		{"grace that overflows", `"grace_s": 8`, `"grace_s": 1e300`, "gateway.grace_s"},
		{"no grace", `"grace_s": 8`, `"grace_s": 0`, "gateway.grace_s"},
		{"negative configuration deadline", `"grace_s": 8`, `"grace_s": 8, "config_deadline_ms": -1`, "gateway.config_deadline_ms"},
		{"negative drain time", `"grace_s": 8`, `"grace_s": 8, "drain_ms": -1`, "gateway.drain_ms"},
		{"negative time of unused memory", `"grace_s": 8`, `"grace_s": 8, "unused_memory_ms": -1`, "gateway.unused_memory_ms"},
		{"wrong type", `"retry_extra": 100`, `"retry_extra": "many"`, "gateway.retry_extra"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("gateway.json", []byte(strings.Replace(validGateway, tc.old, tc.new, 1)))
			var settingsErr *Error
			is.True(errors.As(err, &settingsErr))
			is.Equal(settingsErr.Field, tc.field)
		})
	}
}

// Guards against errors about the file as a whole with an empty Field.
func TestWholeFileErrors(t *testing.T) {
	for _, content := range []string{"", " \n", "[]", "17"} {
		is := is.New(t)
		_, err := Parse("f.json", []byte(content))
		var settingsErr *Error
		is.True(errors.As(err, &settingsErr))
		is.Equal(settingsErr.Field, "(whole file)")
	}
}

// Guards against mistyped field names and trailing data that are ignored
// without an error.
func TestParseRejectsUnknownFieldsAndTrailingData(t *testing.T) {
	is := is.New(t)
	_, err := Parse("f.json", []byte(strings.Replace(validEntry, `"vm"`, `"colour": 1, "vm"`, 1)))
	is.True(strings.Contains(err.Error(), `unknown field "colour"`))
	_, err = Parse("f.json", []byte(validEntry+"{}"))
	is.True(err != nil)
}
