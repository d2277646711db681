package e2e

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"camphorwick.dev/testbed/fleet"
	"camphorwick.dev/testbed/history"
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

// longAnswer is more bytes of an answer than the order journal records.
const longAnswer = 3000

// Guards against an empty answer that looks complete: the answer of an order was too
// long to be recorded, and the order is sent again with the same key.
func TestUnrecordedAnswerDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Orders: 1})
	path := "/v1/services/orders/" + strings.Repeat("c", longAnswer) // the service repeats the path in its answer
	key := history.NewKey()
	first, err := caller(f, 0).Order(ctx, path, key, nil)
	is.NoErr(err)
	is.Equal(first.Status, http.StatusOK)
	is.True(len(first.Text) > longAnswer)
	second, err := caller(f, 0).Order(ctx, path, key, nil)
	is.NoErr(err)
	is.True(second.Recorded)
	is.Equal(second.Status, http.StatusGone)
	is.Equal(second.Outcome, "completed")
	is.Equal(second.Code, "answer_not_recorded")
	query, err := caller(f, 0).Call(ctx, http.MethodGet, "/v1/orders/"+key, nil, nil)
	is.NoErr(err)
	is.True(strings.Contains(query.Text, `"body_omitted":true`))
	is.NoErr(f.Stop())
}
