package routing

import (
	"testing"

	"github.com/matryer/is"
)

func table() *Table {
	return NewTable(&Config{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/", Public: true},
		},
		Services: []Service{{Name: "s"}},
		Accounts: []Account{{Name: "hanbit", Keys: []string{"k1", "k2"}}},
	})
}

// Guards against requests that are matched to a wrong route or to none.
func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, target, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1?q=/", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/z?p=/x/", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/", ""},
	} {
		t.Run(c.host+c.target, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := table().Match(c.host, c.target); r != nil {
				got = r.Name
			}
			is.Equal(got, c.want)
		})
	}
}

func TestKeys(t *testing.T) {
	// Guards against keys that belong to the wrong account, and against routes on
	// which a key is wrongly required or not required.
	is := is.New(t)
	tab := table()
	is.Equal(tab.Account("k2").Name, "hanbit")
	is.Equal(tab.Account("k3"), nil)
	is.True(tab.NeedsKey(tab.Match("a.example", "/x/")))
	is.True(!tab.NeedsKey(tab.Match("b.example", "/")))
	is.True(!NewTable(&Config{}).NeedsKey(&Route{})) // no accounts are configured
}

// Guards against a retry of a stream that cannot be resumed.
func TestRetryable(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Idempotent}).Retryable())
	is.True(!(&Route{Kind: NonIdempotent}).Retryable())
	is.True(!(&Route{Kind: Stream}).Retryable())
	is.True((&Route{Kind: Stream, Resumable: true}).Retryable())
}

func TestPickServiceByWeight(t *testing.T) {
	// Guards against services that get another share of requests than their
	// weight.
	is := is.New(t)
	r := &Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	count := map[string]int{}
	for range 10_000 {
		count[r.PickService()]++
	}
	is.True(count["a"] > 8500 && count["b"] > 700)
	is.Equal(count["c"], 0)
	is.Equal((&Route{}).PickService(), "")
}
