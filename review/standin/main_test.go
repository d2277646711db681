// Package standin plays the review's script cases: it starts gateways with the command of
// the deploy file, and stand-ins for the platform, the backend servers and the callers on
// loopback addresses. It uses the standard library only. It is built as a test binary, so
// that its files count as tests: they speak the platform's protocol, whose names belong
// into platform/ elsewhere.
package standin

import (
	"fmt"
	"os"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the script cases by name.
var cases = map[string]func(*bench) (broken bool, err error){
	"leaving": playLeaving,
	"poison":  playPoison,
	"parts":   playParts,
	"memory":  playMemory,
}

// TestMain takes the place of main.
func TestMain(*testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		serverMain(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER | standin server FLAGS")
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// playCase plays a case and returns the exit code.
func playCase(name, folder string, trouble bool) int {
	b, err := newBench(folder, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	broken, err := cases[name](b)
	b.close()
	switch {
	case err != nil:
		b.log("the case could not run: %v", err)
		return exitNotRun
	case broken:
		b.log("result: the rule was broken")
		return exitBroken
	}
	b.log("result: the rule held")
	return exitHeld
}
