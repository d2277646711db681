package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a SIGHUP that terminates a process just after its start
// ("signal: hangup" under load): signals must be caught before the large
// libraries are initialized.
func TestSignalsAreCaughtBeforeLargeLibraries(t *testing.T) {
	is := is.New(t)
	cmd := exec.Command(os.Args[0], "-test.run", "^$")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	trace, err := cmd.CombinedOutput()
	is.NoErr(err)
	caught := false
	for line := range strings.Lines(string(trace)) {
		name, _, _ := strings.Cut(strings.TrimPrefix(line, "init "), " ")
		switch {
		case name == "camphorwick.dev/daemon/signals":
			caught = true
		case strings.HasPrefix(name, "google.golang.org/protobuf/"), strings.HasPrefix(name, "go.opentelemetry.io/"),
			strings.HasPrefix(name, "github.com/prometheus/"):
			if !caught {
				t.Fatalf("%s is initialized before the signals are caught", name)
			}
		}
	}
	is.True(caught)
}
