package e2e

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/testbed/fleet"
)

// Exit codes of camphorwickctl.
const (
	ctlUsage           = 2
	ctlConnection      = 3
	ctlUnauthenticated = 4
	ctlInvalid         = 5
	ctlConflict        = 6
	ctlInDoubt         = 7
	ctlNotInForce      = 8
	ctlUnavailable     = 9
)

// deadAddress is an address on which nothing listens.
const deadAddress = "127.0.0.1:1"

// operator runs camphorwickctl with the name of an operator.
type operator struct {
	ctx     context.Context
	name    string
	key     string
	entries []string
}

func newOperator(ctx context.Context, f *fleet.Fleet, name string) operator {
	o := operator{ctx: ctx, name: name, key: fleet.AdminKey}
	for _, d := range f.Entries {
		o.entries = append(o.entries, d.Settings.Entry.AdminAddress)
	}
	return o
}

// run returns exit code, standard output and standard error.
func (o operator) run(input string, args ...string) (int, string, string) {
	cmd := exec.CommandContext(o.ctx, filepath.Join(binaries, "camphorwickctl"), args...)
	cmd.Env = append(os.Environ(), "CAMPHORWICK_ENTRIES="+strings.Join(o.entries, ","),
		"CAMPHORWICK_ADMIN_KEY="+o.key, "CAMPHORWICK_OPERATOR="+o.name)
	cmd.Stdin = strings.NewReader(input)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	_ = cmd.Run() // the exit code is checked
	return cmd.ProcessState.ExitCode(), out.String(), errs.String()
}

// must runs a command that has to succeed and returns its standard output.
func (o operator) must(t *testing.T, input string, args ...string) string {
	t.Helper()
	code, out, errs := o.run(input, args...)
	if code != 0 {
		t.Fatalf("%v: exit code %d\n%s%s", args, code, out, errs)
	}
	return out
}

// fails runs a command that has to fail with the code, and returns its output.
func (o operator) fails(t *testing.T, want int, args ...string) string {
	t.Helper()
	code, out, errs := o.run("", args...)
	if code != want {
		t.Fatalf("%v: exit code %d, expected %d\n%s%s", args, code, want, out, errs)
	}
	return out + errs
}

func contains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Fatalf("%q is missing in:\n%s", part, text)
		}
	}
}

// revisionOf returns the number after a text of the output.
func revisionOf(t *testing.T, output, after string) uint64 {
	t.Helper()
	_, rest, _ := strings.Cut(output, after)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatalf("no number after %q in:\n%s", after, output)
	}
	n, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

const accepted = "accepted as revision "

// Guards each command against the real daemon.
func TestCtlCommands(t *testing.T) {
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 1, Orders: 1})
	o := newOperator(ctx, f, "amal")
	dir := t.TempDir()
	contains(t, o.must(t, "", "list"), "plan/standard", "client/tester")
	contains(t, o.must(t, "", "list", "plans", "-o", "json"), `"plan/standard"`)
	contains(t, o.must(t, "", "get", "plan/standard"), `"models"`)
	contains(t, o.must(t, `{"models":["standin"]}`, "edit", "plan/night", "--file", "-", "--wait", "20s"), accepted, "in force on 4 of 4")
	contains(t, o.must(t, "", "edit", "plan/night", "--set", "concurrency=4"), accepted)
	contains(t, o.must(t, "", "get", "plan/night"), `"concurrency": 4`, "standin")
	file := filepath.Join(dir, "plans.json")
	o.must(t, "", "export", "plans", "--file", file)
	contains(t, o.must(t, "", "diff", file), "no differences")
	contains(t, o.must(t, "", "validate", file), "2 plans are valid")
	replaceInFile(t, file, `"concurrency": 4`, `"concurrency": 9`)
	contains(t, o.must(t, "", "apply", file, "--dry-run"), "change plan/night", "+   \"concurrency\": 9")
	contains(t, o.must(t, "", "diff", file), "change plan/night") // the dry run changed nothing
	contains(t, o.must(t, "", "apply", file, "--wait", "20s"), accepted)
	contains(t, o.must(t, "", "apply", file), "no differences")
	contains(t, o.must(t, "", "delete", "plan/night"), accepted)
	contains(t, o.fails(t, ctlInvalid, "get", "plan/night"), "does not exist")
	contains(t, o.must(t, "", "mark", "server-1", "leaving", "--wait", "20s"), accepted)
	contains(t, o.must(t, "", "fleet"), "STATE", "server-1", "leaving", "entry-2")
	contains(t, o.must(t, "", "fleet", "-o", "json"), `"vm": "server-1"`)
	contains(t, o.must(t, "", "unmark", "server-1"), accepted)
	// An idle agent ends before it confirms the mark; it must not fail the wait.
	contains(t, o.must(t, "", "mark", "order-server-1", "stopping", "--wait", "20s"), accepted)
	<-f.Agents[1].Done()
	awaitState(t, o, "order-server-1", "unreachable")                // not draining: the process has ended
	contains(t, o.must(t, "", "unmark", "order-server-1"), accepted) // first: a marked process would stop again
	is.New(t).NoErr(f.StartDaemon(f.Agents[1]))
	awaitState(t, o, "order-server-1", "live")
	contains(t, o.must(t, "", "wait", "--limit", "20s"), "in force on 4 of 4")
	is.New(t).NoErr(f.Stop())
}

// awaitState polls the fleet table until a VM has the state.
func awaitState(t *testing.T, o operator, vm, state string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; {
		table := o.must(t, "", "fleet")
		for _, line := range strings.Split(table, "\n") {
			if strings.Contains(line, vm+" ") && strings.Contains(line, state) {
				return
			}
		}
		if time.Now().After(deadline) {
			t.Fatalf("VM %s is not %s:\n%s", vm, state, table)
		}
	}
}

func replaceInFile(t *testing.T, file, old, text string) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err == nil {
		err = os.WriteFile(file, bytes.Replace(data, []byte(old), []byte(text), 1), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Guards the documented exit codes and the use of several entries.
func TestCtlExitCodes(t *testing.T) {
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 1})
	o := newOperator(ctx, f, "amal")
	o.fails(t, ctlUsage, "no-such-command")
	o.fails(t, ctlUsage, "edit", "plan/standard")
	o.fails(t, ctlInvalid, "edit", "plan/standard", "--set", "no_such_field=1")
	o.fails(t, ctlInvalid, "edit", "client/new", "--set", "plan=absent", "--set", "key_hashes=[]")
	o.fails(t, ctlInvalid, "delete", "plan/standard") // an account uses it
	stranger := o
	stranger.key = "wrong"
	stranger.fails(t, ctlUnauthenticated, "edit", "plan/standard", "--set", "weight=2")
	alone := o
	alone.entries = []string{deadAddress}
	alone.fails(t, ctlConnection, "list")
	second := o
	second.entries = append([]string{deadAddress}, o.entries...)
	contains(t, second.must(t, "", "edit", "plan/standard", "--set", "weight=2"), accepted)
	is := is.New(t)
	is.NoErr(f.Faults(f.Platform, http.MethodPut, "/faults", map[string]any{"outage": "refuse"}))
	contains(t, o.fails(t, ctlUnavailable, "edit", "plan/standard", "--set", "weight=3"), "store_unavailable")
	is.NoErr(f.Faults(f.Platform, http.MethodDelete, "/faults", nil))
	contains(t, o.must(t, "", "get", "plan/standard"), `"weight": 2`)
	is.NoErr(f.Stop())
}

// Guards against an edit that silently replaces another operator's, for one
// item and for a whole list.
func TestCtlConflict(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2})
	first, second := newOperator(ctx, f, "amal"), newOperator(ctx, f, "badr")
	file := filepath.Join(t.TempDir(), "plans.json")
	first.must(t, "", "export", "plans", "-f", file)
	seen, err := f.Item(f.Entries[0], "plan/standard")
	is.NoErr(err)
	second.must(t, "", "edit", "plan/standard", "--set", "weight=7")
	output := first.fails(t, ctlConflict, "edit", "plan/standard", "--set", "weight=3", "--expect-revision", jsonNumber(seen))
	contains(t, output, "operator: badr", `"weight":7`, "your edit is not in force")
	replaceInFile(t, file, `"weight": 1`, `"weight": 3`)
	contains(t, first.fails(t, ctlConflict, "apply", file), "operator: badr")
	second.must(t, `{"models":["standin"]}`, "edit", "plan/standard", "--set", "weight=1")
	second.must(t, `{"models":["standin"]}`, "edit", "plan/added", "--file", "-")
	first.must(t, "", "export", "plans", "-f", file)
	second.must(t, `{"models":["standin"]}`, "edit", "plan/later", "--file", "-")
	contains(t, first.fails(t, ctlConflict, "apply", file), "plan/later") // would delete what badr added
	contains(t, first.must(t, "", "get", "plan/later"), "standin")
	is.NoErr(f.Stop())
}

// Guards against a repeat that takes effect twice or undoes a later edit.
func TestCtlRepeatedEdit(t *testing.T) {
	ctx, f := start(t, fleet.Options{Entries: 2})
	o, other := newOperator(ctx, f, "amal"), newOperator(ctx, f, "badr")
	file := filepath.Join(t.TempDir(), "plans.json")
	edit := []string{"edit", "plan/standard", "--set", "weight=5", "--edit-id", "repeat-1", "--since", "1"}
	revision := revisionOf(t, o.must(t, "", edit...), accepted)
	o.must(t, "", "export", "plans", "-f", file)
	replaceInFile(t, file, `"weight": 5`, `"weight": 6`)
	apply := []string{"apply", file, "--edit-id", "repeat-2", "--since", jsonNumber(revision)}
	applied := revisionOf(t, o.must(t, "", apply...), accepted)
	last := revisionOf(t, other.must(t, "", "edit", "plan/standard", "--set", "weight=7", "--wait", "20s"), accepted)
	is := is.New(t)
	is.Equal(revisionOf(t, o.must(t, "", edit...), "accepted earlier as revision "), revision)
	is.Equal(revisionOf(t, o.must(t, "", apply...), "accepted earlier as revision "), applied)
	contains(t, o.must(t, "", "get", "plan/standard"), `"weight": 7`)
	contains(t, o.must(t, "", "wait"), "revision "+jsonNumber(last)+" is in force")
	replaceInFile(t, file, `"weight": 6`, `"weight": 8`)
	contains(t, o.fails(t, ctlInvalid, apply...), "other changes") // the id is in use
	is.NoErr(f.Stop())
}

// Guards against an edit that is reported as refused, or made twice, after
// the store's answer was lost.
func TestCtlLostStoreAnswer(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2})
	o := newOperator(ctx, f, "amal")
	rule := map[string]any{"fault": "lose_answer", "operation": "put", "key_prefix": "config/head", "count": 1}
	is.NoErr(f.Faults(f.Platform, http.MethodPut, "/faults", map[string]any{"rules": []any{rule}}))
	first := revisionOf(t, o.must(t, "", "edit", "plan/standard", "--set", "weight=2"), accepted)
	var stats struct {
		Injected map[string]int `json:"injected"`
	}
	is.NoErr(f.Stats(f.Platform, "/stats", &stats))
	is.Equal(stats.Injected["lose_answer"], 1)
	second := revisionOf(t, o.must(t, "", "edit", "plan/standard", "--set", "weight=3"), accepted)
	is.Equal(second, first+1)
	is.NoErr(f.Stop())
}

// Guards against an edit in doubt that is reported as refused: the store holds
// the write back until after the command has ended.
func TestCtlHeldWrite(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2})
	o := newOperator(ctx, f, "amal")
	rule := map[string]any{"fault": "hold", "operation": "put", "key_prefix": "config/head"}
	is.NoErr(f.Faults(f.Platform, http.MethodPut, "/faults", map[string]any{"rules": []any{rule}}))
	output := o.fails(t, ctlInDoubt, "edit", "plan/standard", "--set", "weight=2", "--edit-id", "held", "--resolve-limit", "1s")
	contains(t, output, "may be in force", "--edit-id held --since ")
	since := revisionOf(t, strings.ReplaceAll(output, ":", " "), "--since ")
	is.NoErr(f.Faults(f.Platform, http.MethodDelete, "/faults", nil))
	is.NoErr(f.Faults(f.Platform, http.MethodPost, "/faults/release", nil))
	o.must(t, "", "edit", "plan/standard", "--set", "weight=2", "--edit-id", "held", "--since", jsonNumber(since))
	contains(t, o.must(t, "", "wait"), "revision "+jsonNumber(since+1)+" is in force") // accepted exactly once
	is.NoErr(f.Stop())
}

// losingProxy passes calls on to an entry. It drops the answers to edits.
func losingProxy(t *testing.T, address string) string {
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call, err := http.NewRequest(r.Method, "http://"+address+r.URL.String(), r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		call.Header = r.Header
		answer, err := http.DefaultClient.Do(call)
		if err != nil || r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = answer.Body.Close() }()
		w.WriteHeader(answer.StatusCode)
		_, _ = io.Copy(w, answer.Body)
	}))
	t.Cleanup(proxy.Close)
	return strings.TrimPrefix(proxy.URL, "http://")
}

// Guards against an edit that is reported as refused, or made twice, after
// the entry's answer was lost.
func TestCtlLostEntryAnswer(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2})
	o := newOperator(ctx, f, "amal")
	proxy := losingProxy(t, o.entries[0])
	lossy, both := o, o
	lossy.entries, both.entries = []string{proxy}, []string{proxy, o.entries[1]}
	first := revisionOf(t, both.must(t, "", "edit", "plan/standard", "--set", "weight=2", "--wait", "20s"), accepted)
	output := lossy.fails(t, ctlInDoubt, "edit", "plan/standard", "--set", "weight=3", "--resolve-limit", "1s")
	contains(t, output, "may be in force")
	contains(t, o.must(t, "", "wait"), "revision "+jsonNumber(first+1)+" is in force")
	contains(t, o.must(t, "", "get", "plan/standard"), `"weight": 3`)
	is.NoErr(f.Stop())
}

// Guards the naming of a process at which a revision is not in force.
func TestCtlWaitNamesPausedProcess(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 2})
	o := newOperator(ctx, f, "amal")
	is.NoErr(f.Agents[1].Signal(syscall.SIGSTOP))
	o.must(t, "", "edit", "plan/standard", "--set", "weight=2")
	output := o.fails(t, ctlNotInForce, "wait", "--limit", "3s")
	contains(t, output, "in force on 3 of 4", "server-2")
	is.True(!strings.Contains(output, "server-1"))
	is.NoErr(f.Agents[1].Signal(syscall.SIGCONT))
	contains(t, o.must(t, "", "wait", "--limit", "20s"), "in force on 4 of 4")
	// An entry counts even if it is marked, since callers may still reach it.
	is.NoErr(f.Entries[1].Signal(syscall.SIGSTOP))
	output = o.fails(t, ctlNotInForce, "mark", "entry-2", "stopping", "--wait", "5s")
	contains(t, output, accepted, "in force on 3 of 4", "entry-2")
	is.NoErr(f.Entries[1].Signal(syscall.SIGCONT))
	is.NoErr(f.Stop())
}
