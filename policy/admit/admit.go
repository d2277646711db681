// Package admit decides in an entry which requests are served at all: limits
// per client account, and refusal of work that a peak leaves no time for.
//
// A Limiter and a Shedder perform no I/O, take the time as an argument and
// are not safe for concurrent use.
package admit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"camphorwick.dev/api/outcome"
)

// burstSeconds is how many seconds of its rate an account may use at once.
const burstSeconds = 2

// Retry delays of refusals.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// concurrencyRetryAfter is given when the account has too many requests
	// running; when one of them ends is not known.
	concurrencyRetryAfter = time.Second
)

// idleAccount is the time after which an account that has nothing running is
// forgotten; its buckets are full long before.
const idleAccount = 10 * time.Minute

// Limits are those of an account's plan. A zero field means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Concurrency is the greatest number of requests running at a time.
	Concurrency int
}

// account is the state of one client account.
type account struct {
	limits   Limits
	shareOf  int
	requests *rate.Limiter
	tokens   *rate.Limiter
	running  int
	used     time.Time
}

// Limiter enforces the limits of client accounts.
type Limiter struct {
	accounts map[string]*account
	swept    time.Time
}

// NewLimiter returns a limiter that knows no account.
func NewLimiter() *Limiter { return &Limiter{accounts: map[string]*account{}} }

// Admit takes one request with a number of prompt tokens from the account's
// limits. shareOf is the number of live entries that share the limits. It
// returns a function that gives the concurrency back (call it under the same
// lock as Admit; a second call has no effect), or an *outcome.Error with
// RateLimited and the retry delay. A refused request takes nothing.
func (l *Limiter) Admit(now time.Time, name string, limits Limits, tokens int, shareOf int) (release func(), err error) {
	l.sweep(now)
	a := l.account(now, name, limits, max(shareOf, 1))
	if a.limits.Concurrency > 0 && a.running >= share(a.limits.Concurrency, a.shareOf) {
		return nil, outcome.New(outcome.RateLimited, "account %s has %d requests running", name, a.running).
			WithRetryAfter(concurrencyRetryAfter)
	}
	wait := max(delay(a.requests, now, 1), delay(a.tokens, now, tokens))
	if wait > 0 {
		return nil, outcome.New(outcome.RateLimited, "account %s exceeds its rate", name).
			WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
	}
	take(a.requests, now, 1)
	take(a.tokens, now, tokens)
	a.running++
	a.used = now
	return a.releaser(), nil
}

// releaser returns the function that ends one request of the account.
func (a *account) releaser() func() {
	done := false
	return func() {
		if !done {
			done = true
			a.running--
		}
	}
}

// share divides a concurrency limit; every entry may run at least one.
func share(limit, shareOf int) int { return max(1, limit/shareOf) }

func (l *Limiter) account(now time.Time, name string, limits Limits, shareOf int) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{
			limits:   limits,
			shareOf:  shareOf,
			requests: newBucket(limits.RequestsPerSecond / float64(shareOf)),
			tokens:   newBucket(limits.TokensPerSecond / float64(shareOf)),
		}
		l.accounts[name] = a
	}
	if a.limits != limits || a.shareOf != shareOf {
		a.limits, a.shareOf = limits, shareOf
		resize(a.requests, now, limits.RequestsPerSecond/float64(shareOf))
		resize(a.tokens, now, limits.TokensPerSecond/float64(shareOf))
	}
	return a
}

// sweep forgets accounts that have been idle for long.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.swept) < idleAccount {
		return
	}
	l.swept = now
	for name, a := range l.accounts {
		if a.running == 0 && now.Sub(a.used) >= idleAccount {
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

// burst always holds one request, however small the share is.
func burst(perSecond float64) int {
	return max(1, int(math.Min(math.Ceil(perSecond*burstSeconds), math.MaxInt32)))
}

// delay returns the time until a bucket can pay for n. A request larger than
// the bucket waits for a full bucket, and take then leaves a debt.
func delay(bucket *rate.Limiter, now time.Time, n int) time.Duration {
	if bucket.Limit() == rate.Inf {
		return 0
	}
	missing := float64(min(n, bucket.Burst())) - bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Min(missing/float64(bucket.Limit()), maxRetryAfter.Seconds()) * float64(time.Second))
}

// take charges n, in parts that the bucket accepts; the bucket may go below
// zero, so a large request is paid for by a longer wait of the next one.
func take(bucket *rate.Limiter, now time.Time, n int) {
	if bucket.Limit() == rate.Inf {
		return
	}
	for n > 0 {
		part := min(n, bucket.Burst())
		bucket.ReserveN(now, part)
		n -= part
	}
}
