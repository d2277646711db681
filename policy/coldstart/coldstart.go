// Package coldstart limits the requests to servers that are cold: for some time after its
// start a server bears only a stated rate, of all gateways together, and crashes well above
// it.
//
// The rate is divided without a message or a call to the store: each gateway computes its
// whole number of requests a second from the list of gateways, and the remainder goes to
// those with the highest hash of gateway and server. So the sum over gateways with the same
// list is the stated rate, also if they hear nothing from each other, and other gateways have
// the remainder of each server. A share that its gateway does not use is not lent: over the
// servers that are cold together the shares add up to more than a gateway has requests.
package coldstart

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// window is the time in which a share may be used once. It is longer than the second for which
// the rate is stated, because requests may take different times to their server.
const window = 1100 * time.Millisecond

// For startTime after the start of a process the list of gateways may lack many: after a loss
// of power all of them start together, and each finds only itself. assumedGateways is how many
// there are at least taken to be in that time.
const (
	startTime       = 10 * time.Second
	assumedGateways = 32
)

// Limiter is the share of one gateway. It is not safe for concurrent use.
type Limiter struct {
	vm       string
	started  time.Time
	gateways []string
	servers  map[string]*usage // by server ID
}

// usage is what this gateway has sent to a cold server.
type usage struct {
	perSecond float64 // the rate for which share was computed
	starting  bool    // share was computed within startTime
	share     int
	sent      []time.Time // within window, oldest first
}

// NewLimiter returns the limiter of the gateway on a VM, which starts now and knows no other
// gateways.
func NewLimiter(vm string, now time.Time) *Limiter {
	return &Limiter{vm: vm, started: now, gateways: []string{vm}, servers: map[string]*usage{}}
}

// SetGateways replaces the VMs of all gateways, which include this one.
func (l *Limiter) SetGateways(vms []string) {
	l.gateways = slices.Clone(vms)
	for _, u := range l.servers {
		u.perSecond = 0 // computes the share again
	}
}

// Allows reports whether a server that bears perSecond requests a second may get another one
// of this gateway now.
func (l *Limiter) Allows(server string, perSecond float64, now time.Time) bool {
	u := l.usage(server, perSecond, now)
	u.expire(now)
	return len(u.sent) < u.share
}

// Record records that a server gets a request now.
func (l *Limiter) Record(server string, now time.Time) {
	u := l.servers[server]
	if u == nil {
		u = &usage{}
		l.servers[server] = u
	}
	u.expire(now)
	u.sent = append(u.sent, now)
}

// Forget drops what is known of a server.
func (l *Limiter) Forget(server string) { delete(l.servers, server) }

func (l *Limiter) usage(server string, perSecond float64, now time.Time) *usage {
	u := l.servers[server]
	if u == nil {
		u = &usage{}
		l.servers[server] = u
	}
	if starting := now.Sub(l.started) < startTime; u.perSecond != perSecond || u.starting != starting {
		u.perSecond, u.starting, u.share = perSecond, starting, l.share(server, perSecond, starting)
	}
	return u
}

// share returns how many requests a second this gateway may send to a server. A server gets
// one a second at least: one that gets none never warms up.
func (l *Limiter) share(server string, perSecond float64, starting bool) int {
	total := max(int(math.Min(perSecond, math.MaxInt32)), 1)
	gateways := l.gateways
	for i := len(gateways); starting && i < assumedGateways; i++ {
		gateways = append(gateways[:i:i], fmt.Sprint("assumed-", i))
	}
	share, remainder := total/len(gateways), total%len(gateways)
	if remainder > 0 && l.rank(server, gateways) < remainder {
		share++
	}
	return share
}

// rank returns the number of gateways with a higher hash for a server than this one.
func (l *Limiter) rank(server string, gateways []string) int {
	own, rank := hash(l.vm, server), 0
	for _, vm := range gateways {
		if h := hash(vm, server); h > own || h == own && vm < l.vm {
			rank++
		}
	}
	return rank
}

func hash(vm, server string) uint64 { return xxhash.Sum64String(vm + "\x00" + server) }

// expire drops the requests that no longer count.
func (u *usage) expire(now time.Time) {
	old := 0
	for old < len(u.sent) && now.Sub(u.sent[old]) >= window {
		old++
	}
	u.sent = slices.Delete(u.sent, 0, old)
}
