package fleetconf

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against accepting invalid documents, and against validation errors that
// do not name the invalid field.
func TestDocumentsAreValidated(t *testing.T) {
	h := strings.Repeat("a", 64)
	// field is the one that the error names: "" if it names none, "ok" if the
	// document is valid.
	for _, c := range []struct{ key, value, field string }{
		{"client/a", `{"plan":"gold","key_hashes":["` + h + `"]}`, "ok"},
		{"client/a", `{"plan":"gold","extra":1}`, ""},
		{"client/a", `{"plan":"gold"} {}`, ""},
		{"client/a", `{"plan":""}`, "plan"},
		{"client/a", `{"plan":"gold","key_hashes":["abc"]}`, "key_hashes[0]"},
		{"client/a", `{"plan":"gold","key_hashes":["` + strings.ToUpper(h) + `"]}`, "key_hashes[0]"},
		{"client/a", `{"plan":"gold","key_hashes":["` + h + `","` + h + `"]}`, "key_hashes[1]"},
		{"client/a b", `{"plan":"gold"}`, ""},
		{"client/a/b", `{"plan":"gold"}`, ""},
		{"other/a", `{}`, ""},
		{"plan/p", `{"models":["m"],"services":[{"name":"s","idempotent":[{"method":"GET","path_prefix":"/q"}]}]}`, "ok"},
		{"plan/p", `{"models":["m","m"]}`, "models[1]"},
		{"plan/p", `{"requests_per_second":-1}`, "requests_per_second"},
		{"plan/p", `{"weight":1000001}`, "weight"},
		{"plan/p", `{"concurrency":1.5}`, ""},
		{"plan/p", `{"services":[{"name":"s","idempotent":[{"method":"get","path_prefix":"/q"}]}]}`, "services[0].idempotent[0].method"},
		{"plan/p", `{"services":[{"name":"s","idempotent":[{"method":"GET","path_prefix":"q"}]}]}`, "services[0].idempotent[0].path_prefix"},
		{"plan/p", `{"services":[{"name":"s"},{"name":"s"}]}`, "services[1]"},
		{"mark/vm-1", `{"state":"leaving"}`, "ok"},
		{"mark/vm-1", `{"state":"gone"}`, "state"},
		{"plan/p", `{"models":["m","m/a"]}`, "ok"},
		{"plan/p", `{"models":["m/a/b"]}`, "models[0]"},
		{"model/m", `{"version":"7","role":"prefill","adapters":[{"name":"a","version":"1"}]}`, "ok"},
		{"model/m", `{"version":"a b"}`, "version"},
		{"model/m", `{"adapters":[{"name":"a"},{"name":"a"}]}`, "adapters[1]"},
		{"model/m", `{"adapters":[{"name":"a","version":"/"}]}`, "adapters[0].version"},
	} {
		t.Run(c.key+c.value, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseItem(c.key, []byte(c.value))
			if c.field == "ok" {
				is.NoErr(err)
				return
			}
			var invalid *ValidationError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Item, c.key)
			is.Equal(invalid.Field, c.field)
		})
	}
}

// Guards against retrying an order because its path resembles that of an
// idempotent operation.
func TestIdempotentOperations(t *testing.T) {
	is := is.New(t)
	s := PlanService{Idempotent: []Operation{{"GET", "/quotes"}}}
	is.True(s.IsIdempotent("GET", "/quotes"))
	is.True(s.IsIdempotent("GET", "/quotes/7"))
	for _, path := range []string{"/quotes-and-orders", "/quotes/../orders", "/quotes/%2e%2e/orders", "/quotes//x", "/orders"} {
		is.True(!s.IsIdempotent("GET", path)) // not covered by the prefix
	}
	is.True(!s.IsIdempotent("POST", "/quotes"))
}
