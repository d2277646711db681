// Command standin-orders stands in for a plain order service in tests and in
// the demo. See package ordersim.
package main

import (
	"fmt"
	"os"
	"time"

	"camphorwick.dev/standin/faults"
	"camphorwick.dev/standin/ordersim"
	"camphorwick.dev/standin/process"
)

type options struct {
	process.Addresses
	CheckKeys   bool          `long:"check-keys" description:"refuse a second run of an Idempotency-Key"`
	Token       string        `long:"token" description:"demand this bearer token"`
	Latency     time.Duration `long:"latency" description:"added before each run"`
	BreakBefore float64       `long:"break-before" description:"probability that the connection breaks before the run"`
	BreakAfter  float64       `long:"break-after" description:"probability that the connection breaks after the run"`
	Seed        uint64        `long:"seed" description:"seed of the probabilities"`
}

func (o options) settings() ordersim.Settings {
	s := ordersim.Settings{CheckKeys: &o.CheckKeys, Token: &o.Token}
	s.Seed, s.LatencyMS = o.Seed, int(o.Latency.Milliseconds())
	for _, rule := range []faults.Rule{
		{Fault: faults.LoseRequest, Probability: o.BreakBefore},
		{Fault: faults.LoseAnswer, Probability: o.BreakAfter},
	} {
		if rule.Probability != 0 {
			s.Rules = append(s.Rules, rule)
		}
	}
	return s
}

func main() {
	var o options
	process.ParseFlags(&o)
	s, err := ordersim.New(o.settings())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(process.Main(o.Addresses, process.Handlers{
		Handle: s.Handle, HandleFaults: s.HandleFaults, MaxRequestBytes: ordersim.MaxRequestBytes,
	}))
}
