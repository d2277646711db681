package e2e

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"camphorwick.dev/testbed/fleet"
)

// Guards against idempotent calls that fail when one server loses all GET requests
// although another could answer them, and against service calls that are let through
// although they exceed the limits of their plan.
func TestServiceCalls(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Orders: 2})
	lostGets := map[string]any{"rules": []map[string]any{{"fault": "lose_request", "operation": "GET"}}}
	is.NoErr(f.Faults(f.Orders[0], http.MethodPut, "/faults", lostGets))
	for range 10 {
		a, err := caller(f, 0).Call(ctx, http.MethodGet, "/v1/services/orders/stock", nil, nil)
		is.NoErr(err)
		is.Equal(a.Outcome, "completed")
	}
	revision, err := f.ItemRevision(f.Entries[0], "plan/standard")
	is.NoErr(err)
	plan := map[string]any{"models": []string{"standin"}, "requests_per_second": 1, "services": []map[string]any{{"name": "orders",
		"idempotent": []map[string]string{{"method": "GET", "path_prefix": "/"}}}}}
	_, err = f.Edit(f.Entries[0], fleet.Change{Key: "plan/standard", Value: plan, ExpectedRevision: revision})
	is.NoErr(err)
	limited := 0
	for range 10 {
		a, err := caller(f, 0).Call(ctx, http.MethodGet, "/v1/services/orders/stock", nil, nil)
		is.NoErr(err)
		if a.Code == "rate_limited" {
			is.Equal(a.Outcome, "not_run")
			is.True(a.RetryAfter != "")
			limited++
		}
	}
	is.True(limited >= 8) // the bucket of a plan with 1 call per second holds 2 calls (admit.burstSeconds), so at most 2 of the 10 pass at once
}
