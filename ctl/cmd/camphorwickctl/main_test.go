package main

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"

	"camphorwick.dev/ctl"
)

// execute runs a command line without access to a fleet.
func execute(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), args, strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Guards against commands whose help has no example of the command. The number of
// commands shows that the loop covers all of them.
func TestHelp(t *testing.T) {
	is := is.New(t)
	a := &app{}
	parser := flags.NewParser(&a.globalOptions, flags.None)
	a.addCommands(parser)
	is.Equal(len(parser.Commands()), 15)
	for _, command := range parser.Commands() {
		code, out, _ := execute(command.Name, "--help")
		is.Equal(code, 0)
		is.True(strings.Contains(out, "Examples:\ncamphorwickctl "+command.Name))
	}
}

// Guards against invalid command lines that are not refused as wrong usage.
func TestUsage(t *testing.T) {
	is := is.New(t)
	t.Setenv("CAMPHORWICK_ENTRIES", "")
	t.Setenv("CAMPHORWICK_GATEWAYS", "")
	t.Setenv("CAMPHORWICK_ADMIN_KEY", "")
	t.Setenv("CAMPHORWICK_ADMIN_KEY_FILE", "")
	for _, args := range [][]string{{}, {"none"}, {"get"}, {"mark", "vm"}, {"list", "other"}, {"export", "marks"},
		{"fleet", "-o", "xml"}, {"wait", "--revision", "x"}, {"edit", "plan/a"}, {"list"}, {"list", "-e", "127.0.0.1:1"},
		{"servers"}, {"quarantine"}, {"quarantine", "--lift", "p"}} {
		code, _, errs := execute(args...)
		is.Equal(code, exitUsage)
		is.True(errs != "")
	}
}

// Guards against an exit code that differs from the documented one, also for an
// error that wraps another one.
func TestExitCode(t *testing.T) {
	is := is.New(t)
	conflict := &ctl.APIError{Code: "edit_conflict"}
	is.Equal(exitCode(conflict), exitConflict)
	is.Equal(exitCode(&ctl.DoubtError{Cause: conflict}), exitInDoubt) // a refused retry leaves the edit in doubt
	is.Equal(exitCode(&ctl.DoubtError{Cause: &ctl.ConnectionError{}}), exitInDoubt)
	is.Equal(exitCode(&ctl.ConnectionError{}), exitConnection)
	is.Equal(exitCode(&ctl.NotInForceError{}), exitNotInForce)
	is.Equal(exitCode(&ctl.APIError{Code: "store_unavailable"}), exitUnavailable)
	is.Equal(exitCode(&ctl.APIError{Code: "unauthenticated"}), exitUnauthenticated)
	is.Equal(exitCode(&ctl.InputError{Cause: errItemNotFound}), exitInvalid)
	is.Equal(exitCode(errors.New("other")), exitFailed)
}
