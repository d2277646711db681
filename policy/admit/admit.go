// Package admit decides in an entry which requests are served: it enforces the
// limits of client accounts and sheds requests that cannot meet their deadlines
// at the current load.
//
// A Limiter and a Shedder perform no I/O, take the time as an argument and are
// not safe for concurrent use.
package admit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"camphorwick.dev/api/outcome"
)

// burstSeconds is the size of an account's token bucket, in seconds of its
// rate.
const burstSeconds = 2

// Retry delays of refusals.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// concurrencyRetryAfter is used when the account has too many requests
	// running, because it is not known when one of them ends.
	concurrencyRetryAfter = time.Second
)

// idleAccountLifetime is the time after which the state of an account without
// running requests is dropped. Its buckets are full long before.
const idleAccountLifetime = 10 * time.Minute

// Limits are the limits of an account's plan. A zero field means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Concurrency is the maximum number of requests running at a time.
	Concurrency int
}

// account is the state of one client account.
type account struct {
	limits   Limits
	entries  int
	requests *rate.Limiter
	tokens   *rate.Limiter
	running  int
	lastUsed time.Time
}

// Limiter enforces the limits of client accounts.
type Limiter struct {
	accounts  map[string]*account
	lastSweep time.Time
}

// NewLimiter returns a limiter without accounts.
func NewLimiter() *Limiter { return &Limiter{accounts: map[string]*account{}} }

// Admit charges one request with a number of prompt tokens to the account's
// limits. entries is the number of live entries that share the limits. It
// returns a function that releases the concurrency slot (call it under the same
// lock as Admit; a second call has no effect), or an *outcome.Error with
// RateLimited and the retry delay. A refused request is charged nothing.
func (l *Limiter) Admit(now time.Time, name string, limits Limits, tokens int, entries int) (release func(), err error) {
	l.sweep(now)
	a := l.account(now, name, limits, max(entries, 1))
	if a.limits.Concurrency > 0 && a.running >= share(a.limits.Concurrency, a.entries) {
		return nil, outcome.New(outcome.RateLimited, "account %s has %d requests running", name, a.running).
			WithRetryAfter(concurrencyRetryAfter)
	}
	wait := max(delay(a.requests, now, 1), delay(a.tokens, now, tokens))
	if wait > 0 {
		return nil, outcome.New(outcome.RateLimited, "account %s exceeds its rate", name).
			WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
	}
	charge(a.requests, now, 1)
	charge(a.tokens, now, tokens)
	a.running++
	a.lastUsed = now
	return a.releaseFunc(), nil
}

// releaseFunc returns the function that ends one request of the account.
func (a *account) releaseFunc() func() {
	done := false
	return func() {
		if !done {
			done = true
			a.running--
		}
	}
}

// share returns the part of a concurrency limit that one entry may use; every
// entry may run at least one request.
func share(limit, entries int) int { return max(1, limit/entries) }

func (l *Limiter) account(now time.Time, name string, limits Limits, entries int) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{
			limits:   limits,
			entries:  entries,
			requests: newBucket(limits.RequestsPerSecond / float64(entries)),
			tokens:   newBucket(limits.TokensPerSecond / float64(entries)),
		}
		l.accounts[name] = a
	}
	if a.limits != limits || a.entries != entries {
		a.limits, a.entries = limits, entries
		resize(a.requests, now, limits.RequestsPerSecond/float64(entries))
		resize(a.tokens, now, limits.TokensPerSecond/float64(entries))
	}
	return a
}

// sweep drops accounts that have been idle for idleAccountLifetime.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < idleAccountLifetime {
		return
	}
	l.lastSweep = now
	for name, a := range l.accounts {
		if a.running == 0 && now.Sub(a.lastUsed) >= idleAccountLifetime {
			delete(l.accounts, name)
		}
	}
}

func newBucket(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(limitOf(perSecond), burst(perSecond))
}

func resize(bucket *rate.Limiter, now time.Time, perSecond float64) {
	bucket.SetLimitAt(now, limitOf(perSecond))
	bucket.SetBurstAt(now, burst(perSecond))
}

func limitOf(perSecond float64) rate.Limit {
	if perSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(perSecond)
}

// burst returns the size of a bucket. It holds at least one request, however
// small the rate is.
func burst(perSecond float64) int {
	return max(1, int(math.Min(math.Ceil(perSecond*burstSeconds), math.MaxInt32)))
}

// delay returns the time until n can be charged to a bucket. A request larger
// than the bucket waits for a full bucket, and charge then leaves it in debt.
func delay(bucket *rate.Limiter, now time.Time, n int) time.Duration {
	if bucket.Limit() == rate.Inf {
		return 0
	}
	deficit := float64(min(n, bucket.Burst())) - bucket.TokensAt(now)
	if deficit <= 0 {
		return 0
	}
	return time.Duration(math.Min(deficit/float64(bucket.Limit()), maxRetryAfter.Seconds()) * float64(time.Second))
}

// charge takes n tokens from a bucket, in amounts that the bucket accepts. The
// bucket may go below zero, so the request after a large one waits longer.
func charge(bucket *rate.Limiter, now time.Time, n int) {
	if bucket.Limit() == rate.Inf {
		return
	}
	for n > 0 {
		amount := min(n, bucket.Burst())
		bucket.ReserveN(now, amount)
		n -= amount
	}
}
