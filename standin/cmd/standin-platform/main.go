// Command standin-platform stands in for the platform in tests and in the
// demo. See package platformsim.
package main

import (
	"os"
	"time"

	"camphorwick.dev/standin/platformsim"
	"camphorwick.dev/standin/process"
)

type options struct {
	process.Addresses
	ReadsPerSecond   float64       `long:"reads-per-second" default:"2000" description:"rate limit of reads; 0: none"`
	WritesPerSecond  float64       `long:"writes-per-second" default:"500" description:"rate limit of writes; 0: none"`
	WeightsPerSecond float64       `long:"weights-per-second" default:"1" description:"rate limit of the weight store; 0: none"`
	VMLag            time.Duration `long:"vm-lag" default:"5s" description:"time after which a change of the VM list is shown"`
}

func main() {
	var o options
	process.ParseFlags(&o)
	p := platformsim.New(platformsim.Options{
		ReadsPerSecond: o.ReadsPerSecond, WritesPerSecond: o.WritesPerSecond,
		WeightsPerSecond: o.WeightsPerSecond, VMLag: o.VMLag,
	})
	os.Exit(process.Main(o.Addresses, process.Handlers{
		Handle: p.Handle, HandleFaults: p.HandleFaults, MaxRequestBytes: platformsim.MaxRequestBytes,
	}))
}
