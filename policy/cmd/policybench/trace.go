package main

import (
	"fmt"
	"io"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/policy/internal/sim"
)

// printLateByCause simulates the policy and prints one row for each main cause of
// late short requests at peaks, with their mean waits. It returns the requests.
func printLateByCause(out io.Writer, s sim.Scenario) []sim.Late {
	s.Strategy = sim.Policy
	r := sim.Run(s)
	fmt.Fprintf(out, "\n%d servers, seed %d, load %.2f with peaks of %.2f: %d of %d short requests at peaks late\n\n",
		s.Servers, s.Seed, s.BaseLoad, s.BaseLoad*s.PeakFactor, len(r.Late), r.PeakShort)
	fmt.Fprintln(out, "| Main cause | Late | Mean ms for memory | In the queue's order | In failed attempts | In prefill | KV tokens held by short | By medium | By long |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
	for c := range sim.CauseCount {
		printCause(out, r.Late, c)
	}
	return r.Late
}

func printCause(out io.Writer, late []sim.Late, c sim.WaitCause) {
	var wait [sim.CauseCount]float64
	var held [outcome.BandCount]float64
	n := 0
	for _, l := range late {
		if l.MainCause() != c {
			continue
		}
		n++
		for i, w := range l.Wait {
			wait[i] += ms(w.Microseconds())
		}
		for b, tokens := range l.KVHeld {
			held[b] += float64(tokens)
		}
	}
	if n == 0 {
		return
	}
	requests := float64(n)
	fmt.Fprintf(out, "| %s | %d | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f |\n", c, n,
		wait[sim.WaitMemory]/requests, wait[sim.WaitQueue]/requests, wait[sim.WaitFailure]/requests, wait[sim.WaitPrefill]/requests,
		held[outcome.Short]/requests, held[outcome.Medium]/requests, held[outcome.Long]/requests)
}

// printLateRequests prints one row for each late request.
func printLateRequests(out io.Writer, late []sim.Late) {
	fmt.Fprintln(out, "\n| Arrived s | Server | Tokens | First token ms | Attempts | Memory ms | Order ms | Failed ms | Prefill ms | Held short | Medium | Long |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, l := range late {
		fmt.Fprintf(out, "| %.2f | %d | %d | %.0f | %d | %.0f | %.0f | %.0f | %.0f | %d | %d | %d |\n", l.At.Seconds(), l.Server, l.Tokens,
			ms(l.FirstToken.Microseconds()), l.Attempts, ms(l.Wait[sim.WaitMemory].Microseconds()), ms(l.Wait[sim.WaitQueue].Microseconds()),
			ms(l.Wait[sim.WaitFailure].Microseconds()), ms(l.Wait[sim.WaitPrefill].Microseconds()),
			l.KVHeld[outcome.Short], l.KVHeld[outcome.Medium], l.KVHeld[outcome.Long])
	}
}
