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

// burstSeconds is the size of the two buckets of an account, in seconds of its
// rates: after a pause an account may use that much of its rate at once.
const burstSeconds = 2

// Bounds of the retry delay that a refusal returns.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// concurrencyRetryAfter is used when the account has too many requests
	// running, because it is not known when one of them ends.
	concurrencyRetryAfter = time.Second
)

// idleAccountLifetime is the time after which the state of an account without
// running requests is dropped, and the interval at which the accounts are
// checked for it. By then the buckets of the account are full again, so nothing
// is lost.
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
	limits     Limits        // of the account's plan, for all entries together
	entryCount int           // number of entries that share the limits
	requests   *rate.Limiter // this entry's share of RequestsPerSecond
	tokens     *rate.Limiter // this entry's share of TokensPerSecond
	running    int           // admitted requests that have not been released
	lastUsed   time.Time     // time of the last admitted request
}

// Limiter enforces the limits of client accounts.
type Limiter struct {
	accounts  map[string]*account
	lastSweep time.Time
}

// NewLimiter returns a limiter without accounts.
func NewLimiter() *Limiter { return &Limiter{accounts: map[string]*account{}} }

// Admit charges one request with a number of prompt tokens to the account's
// limits, which entryCount live entries share. If the limits allow the request,
// Admit returns a function that ends it for the concurrency limit. Callers have
// to call it under the same lock as Admit; a second call has no effect. If the
// limits do not allow it, Admit returns an *outcome.Error with RateLimited and a
// retry delay, and nothing is charged.
func (l *Limiter) Admit(now time.Time, name string, limits Limits, tokens int, entryCount int) (release func(), err error) {
	l.sweep(now)
	a := l.account(now, name, limits, max(entryCount, 1))
	if a.limits.Concurrency > 0 && a.running >= concurrencyShare(a.limits.Concurrency, a.entryCount) {
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

// concurrencyShare returns the part of a concurrency limit that one entry may
// use. Every entry may run at least one request.
func concurrencyShare(limit, entryCount int) int { return max(1, limit/entryCount) }

func (l *Limiter) account(now time.Time, name string, limits Limits, entryCount int) *account {
	// Creates the account if it is new, and applies changed limits to it.
	a := l.accounts[name]
	if a == nil {
		a = &account{
			limits:     limits,
			entryCount: entryCount,
			requests:   newBucket(limits.RequestsPerSecond / float64(entryCount)),
			tokens:     newBucket(limits.TokensPerSecond / float64(entryCount)),
		}
		l.accounts[name] = a
	}
	if a.limits != limits || a.entryCount != entryCount {
		a.limits, a.entryCount = limits, entryCount
		resize(a.requests, now, limits.RequestsPerSecond/float64(entryCount))
		resize(a.tokens, now, limits.TokensPerSecond/float64(entryCount))
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

// burst returns the size of a bucket for a rate. The bucket of a small rate
// still holds one request.
func burst(perSecond float64) int {
	return max(1, int(math.Min(math.Ceil(perSecond*burstSeconds), math.MaxInt32)))
}

// delay returns the time until n can be charged to a bucket. For an n larger
// than the bucket this is the time until the bucket is full; charge then takes
// it below zero.
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

// charge takes n from a bucket, in amounts that the bucket accepts. The bucket
// may go below zero, so the request after a large one waits longer.
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
