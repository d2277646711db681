package quarantine

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var modelDraws = flag.Int("quarantine.draws", 10_000, "number of draws of TestModelOfCrashes")

// The load of a draw of the model.
const (
	modelGateways  = 4
	modelServers   = 12
	modelTime      = 14 * time.Second
	modelRunTime   = 50 * time.Millisecond
	modelDownTime  = 2 * time.Second
	soundPerSecond = 12
	badPerSecond   = 4 // with each bad part
	modelGroups    = 4 // groupParts, one of which each prompt has
	// modelContact, modelCrashes and modelLate are the users' bound: from modelContact after
	// crash number modelCrashes on, at most modelLate requests with the part reach servers.
	modelContact = 3 * time.Second
	modelCrashes = 5
	modelLate    = 3
	// maxRefusedTime is how long a sound part may be refused in a draw.
	maxRefusedTime = 10 * time.Second
)

// crashMode is when servers crash on a bad part.
type crashMode string

const (
	crashAlways      crashMode = "always"
	crashHalf        crashMode = "half of the time"
	crashSomeServers crashMode = "on half of the servers"
)

// allReports is a limit of the bytes of reports that is not reached.
const allReports = 1 << 30

// draw is one case of the model.
type draw struct {
	seed     uint64
	baseRate float64 // share of all requests on which servers crash for another reason
	badParts int
	mode     crashMode
	lost     float64 // share of the reports that get lost
	deaf     bool    // half of the gateways get no reports
	doubled  bool    // each report arrives twice
}

func newDraw(seed uint64) draw {
	random := rand.New(rand.NewPCG(seed, 0))
	return draw{seed: seed, baseRate: []float64{0, 0.01, 0.02, 0.05}[random.IntN(4)], badParts: 1 + random.IntN(4),
		mode: []crashMode{crashAlways, crashAlways, crashHalf, crashSomeServers}[random.IntN(4)], lost: []float64{0, 0.5}[random.IntN(2)],
		deaf: random.IntN(4) == 0, doubled: random.IntN(4) == 0}
}

// model is the state of a draw.
type model struct {
	draw
	random *rand.Rand
	lists  []*List

	mu        sync.Mutex
	servers   []*modelServer
	starts    int
	crashes   map[string][]time.Time // by bad part
	arrivals  map[string][]time.Time
	refused   map[string]time.Duration // by sound part
	soundSent int
	soundRan  int
}

type modelServer struct {
	id       string
	broken   bool // crashes on bad parts in mode crashSomeServers
	downTill time.Time
	running  map[*Request]chan struct{} // closed when the server crashes
}

func (m *model) newServer(i int) *modelServer {
	m.starts++
	return &modelServer{id: fmt.Sprintf("s%d.%d", i, m.starts), broken: i%2 == 0, running: map[*Request]chan struct{}{}}
}

func badPart(i int) string { return fmt.Sprintf("bad%d", i) }

// run plays the draw.
func (m *model) run() {
	ctx, cancel := context.WithCancel(context.Background())
	store := newMemoryStore()
	var group sync.WaitGroup
	for i := range modelGateways {
		l := New(Options{VM: fmt.Sprint("vm", i), Log: discard, Store: store})
		l.Replace(nil)
		m.lists = append(m.lists, l)
		group.Go(func() { _ = l.Run(ctx) })
	}
	store.followers = m.lists
	group.Go(func() { m.exchange(ctx) })
	for i := range modelServers {
		m.servers = append(m.servers, m.newServer(i))
	}
	begun := time.Now()
	interval := time.Second / time.Duration(soundPerSecond+badPerSecond*m.badParts)
	for n := 0; time.Since(begun) < modelTime; n++ {
		group.Go(func() { m.request(n) })
		m.observeRefusals(interval)
		time.Sleep(interval)
	}
	cancel()
	group.Wait()
}

// exchange passes on the reports every 100 ms.
func (m *model) exchange(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		for i, l := range m.lists {
			reports := l.Reports(round%6 == 0, allReports)
			if reports.Empty() {
				continue
			}
			for j, other := range m.lists {
				if i == j || m.deaf && j >= modelGateways/2 || m.chance(m.lost) {
					continue
				}
				other.Handle(reports)
				if m.doubled {
					other.Handle(reports)
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (m *model) chance(share float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64() < share
}

// observeRefusals adds the time in which any gateway refuses a sound part.
func (m *model) observeRefusals(elapsed time.Duration) {
	for _, part := range []string{"all0", "all1", "group0", "group1", "group2", "group3"} {
		for _, l := range m.lists {
			l.mu.Lock()
			e := l.entries[part]
			refused := e != nil && len(e.With) == 0
			l.mu.Unlock()
			if refused {
				m.refused[part] += elapsed
				break
			}
		}
	}
}

// request sends a request, of which every so many have a bad part.
func (m *model) request(n int) {
	m.mu.Lock()
	parts := []string{"all0", "all1", fmt.Sprint("group", m.random.IntN(modelGroups))}
	bad := ""
	if i := m.random.IntN(soundPerSecond + badPerSecond*m.badParts); i >= soundPerSecond {
		bad = badPart((i - soundPerSecond) % m.badParts)
		parts[1+m.random.IntN(2)] = bad
	}
	l := m.lists[m.random.IntN(len(m.lists))]
	m.mu.Unlock()
	r := l.Track(fmt.Sprint("r", n), fmt.Sprint("account", n%3), parts, func(error) {})
	defer r.Done()
	if r.Admit(context.Background()) != nil {
		if bad == "" {
			m.mu.Lock()
			m.soundSent++
			m.mu.Unlock()
		}
		return
	}
	m.execute(r, bad)
}

// execute runs an admitted request on a server.
func (m *model) execute(r *Request, bad string) {
	m.mu.Lock()
	var up []*modelServer
	for i, s := range m.servers {
		if s.downTill.IsZero() || time.Now().After(s.downTill) {
			if !s.downTill.IsZero() {
				m.servers[i] = m.newServer(i)
			}
			up = append(up, m.servers[i])
		}
	}
	if len(up) == 0 {
		m.mu.Unlock()
		return
	}
	// The first servers get most of the requests.
	s := up[min(m.random.IntN(len(up)), m.random.IntN(len(up)))]
	crashed := make(chan struct{})
	s.running[r] = crashed
	crashes := m.random.Float64() < m.baseRate
	if bad == "" {
		m.soundSent++
		m.soundRan++
	} else {
		m.arrivals[bad] = append(m.arrivals[bad], time.Now())
		onBad := m.mode == crashAlways || m.mode == crashHalf && m.random.IntN(2) == 0 || m.mode == crashSomeServers && s.broken
		crashes = crashes || onBad
	}
	m.mu.Unlock()
	r.Sent(s.id)
	select {
	case <-crashed:
		r.ServerCrashed()
		return
	case <-time.After(modelRunTime):
	}
	m.mu.Lock()
	_, runs := s.running[r]
	if runs && crashes {
		m.crash(s, bad)
	}
	delete(s.running, r)
	m.mu.Unlock()
	if !runs || crashes {
		r.ServerCrashed()
		return
	}
	r.Answered()
}

// crash ends a server and all requests on it. mu is held.
func (m *model) crash(s *modelServer, bad string) {
	s.downTill = time.Now().Add(modelDownTime)
	for _, crashed := range s.running {
		close(crashed)
	}
	clear(s.running)
	if bad != "" {
		m.crashes[bad] = append(m.crashes[bad], time.Now())
	}
}

// late returns the number of requests with a bad part that came too late.
func (m *model) late(part string) int {
	if len(m.crashes[part]) < modelCrashes {
		return 0
	}
	limit := m.crashes[part][modelCrashes-1].Add(modelContact)
	late := 0
	for _, at := range m.arrivals[part] {
		if at.After(limit) {
			late++
		}
	}
	return late
}

// play plays a draw and returns what it broke.
func (d draw) play(t *testing.T) (broken []string, m *model) {
	m = &model{draw: d, random: rand.New(rand.NewPCG(d.seed, 1)), crashes: map[string][]time.Time{}, arrivals: map[string][]time.Time{}, refused: map[string]time.Duration{}}
	synctest.Test(t, func(*testing.T) { m.run() })
	for i := range d.badParts {
		if late := m.late(badPart(i)); late > modelLate {
			broken = append(broken, fmt.Sprintf("%d late requests with %s", late, badPart(i)))
		}
	}
	if d.baseRate <= 0.02 {
		for part, refused := range m.refused {
			if refused > maxRefusedTime {
				broken = append(broken, fmt.Sprintf("%s refused for %v", part, refused))
			}
		}
	}
	return broken, m
}
