package quarantine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/gateway/follow"
)

func manyParts(n int) []string {
	parts := make([]string, n)
	for i := range parts {
		parts[i] = fmt.Sprintf("%08x", i)
	}
	return parts
}

// Guards against sound prompts being refused with a group of parts of which most were
// answered since, against the cause staying in use when the others leave the group, and
// against a gateway that reads the group from the store refusing other prompts.
func TestGroupOfManyParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		var lists []*List
		for i := range 2 {
			l := New(Options{VM: fmt.Sprint("vm", i), Log: discard, Store: store})
			l.Replace(nil)
			lists = append(lists, l)
			group.Go(func() { _ = l.Run(ctx) })
		}
		store.followers = lists
		parts := manyParts(2000)
		for i := range 3 {
			crash(lists[0], fmt.Sprint("s", i), fmt.Sprint("account", i), parts...)
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(time.Second)
		for _, l := range lists {
			entries := l.Entries()
			is.Equal(len(entries), 1) // not one for each part
			is.True(entries[0].Group)
			is.Equal(len(entries[0].With), len(parts))
			is.True(isRefused(l, parts))
			is.True(!isRefused(l, parts[1:]))
		}
		sound := lists[1].Track("sound", "account0", parts[1:], func(error) {})
		is.NoErr(sound.Admit(ctx))
		sound.Sent("s9")
		sound.Answered()
		sound.Done()
		time.Sleep(3 * time.Second)
		for _, l := range lists {
			is.Equal(l.Entries()[0].With, parts[:1])
			is.True(isRefused(l, append([]string{"ffff"}, parts[0])))
			is.True(!isRefused(l, parts[1:]))
		}
		last := lists[0].Track("last", "account0", parts[:1], func(error) {})
		last.Sent("s9")
		last.Answered()
		last.Done()
		time.Sleep(3 * time.Second)
		for _, l := range lists {
			is.Equal(len(l.Entries()), 0)
		}
		cancel()
		group.Wait()
	})
}

// isRefused reports whether prompts with some parts are refused, without a trial.
func isRefused(l *List, parts []string) bool {
	r := l.Track("r", "account0", parts, func(error) {})
	defer r.Done()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.covering(r.parts) {
		if e.refusesAccount("account0") {
			return true
		}
	}
	return false
}

// Guards against reports that are dropped because there are more than fit one datagram: each
// goes out with a later one.
func TestReportsThatDoNotFitOneDatagram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(Options{VM: "vm", Log: discard})
		const prompts, parts = 5, 1000
		for i := range prompts {
			var own []string
			for n := range parts {
				own = append(own, fmt.Sprintf("%08x", i*parts+n))
			}
			crash(l, fmt.Sprint("s", i), "a", own...)
			if i == 0 {
				r := l.Track("sound", "a", own, func(error) {})
				r.Sent("s9")
				r.Answered()
				r.Done()
			}
			time.Sleep(time.Millisecond)
		}
		crashes, cleared := map[string]int{}, map[string]bool{}
		for range 20 {
			reports := l.Reports(false, 20_000)
			for _, c := range reports.Crashes {
				crashes[c.Server]++
				is.Equal(len(c.Parts), parts)
			}
			for _, c := range reports.Cleared {
				cleared[c.Part] = true
			}
		}
		is.Equal(len(crashes), prompts)
		is.Equal(crashes["s0"], promptReports)
		is.Equal(len(cleared), parts)
		is.True(l.Reports(false, 20_000).Empty())
	})
}

// Guards against answered parts being forgotten in the order in which they come rather than
// by age, so that late reports of crashes count although prompts with the part were answered.
func TestNewestAnswersAreKept(t *testing.T) {
	is := is.New(t)
	a := answeredParts{}
	begin := time.Now()
	for n := range 2 * maxAnsweredParts {
		a.add(fmt.Sprint("p", n), answerTime{at: begin.Add(time.Duration(n) * time.Microsecond)})
		is.True(len(a) <= maxAnsweredParts)
	}
	_, hasNewest := a[fmt.Sprint("p", 2*maxAnsweredParts-1)]
	_, hasOldest := a["p0"]
	is.True(hasNewest)
	is.True(!hasOldest)
}

// Guards against an entry of another writer whose list of parts is cut, which would then
// refuse prompts that it is not about.
func TestEntryWithTooManyPartsIsIgnored(t *testing.T) {
	is := is.New(t)
	l := New(Options{VM: "vm", Log: discard, Store: newMemoryStore()})
	l.Replace(nil)
	with := `"x"`
	for i := range maxParts {
		with += fmt.Sprintf(`,"%x"`, i)
	}
	l.Change(follow.Item{Key: Prefix + "bad", Value: []byte(`{"part":"bad","accounts":["a","b"],"with":[` + with + `]}`), Revision: 2})
	l.Change(follow.Item{Key: Prefix + "group-1", Value: []byte(`{"part":"group-1","group":true,"accounts":["a","b"]}`), Revision: 3})
	is.Equal(len(l.Entries()), 0)
}
