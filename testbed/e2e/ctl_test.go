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

// refusingAddress is an address without a listener.
const refusingAddress = "127.0.0.1:1"

// operator runs camphorwickctl as a named operator.
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

// run runs a command and returns its exit code, standard output and standard
// error.
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

// mustRun runs a command, fails the test unless it succeeds, and returns its
// standard output.
func (o operator) mustRun(t *testing.T, input string, args ...string) string {
	t.Helper()
	code, out, errs := o.run(input, args...)
	if code != 0 {
		t.Fatalf("%v: exit code %d\n%s%s", args, code, out, errs)
	}
	return out
}

// mustFail runs a command, fails the test unless it exits with the code want, and
// returns its output.
func (o operator) mustFail(t *testing.T, want int, args ...string) string {
	t.Helper()
	code, out, errs := o.run("", args...)
	if code != want {
		t.Fatalf("%v: exit code %d, expected %d\n%s%s", args, code, want, out, errs)
	}
	return out + errs
}

func mustContain(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Fatalf("%q is missing in:\n%s", part, text)
		}
	}
}

// parseRevision returns the number that follows a text in the output.
func parseRevision(t *testing.T, output, after string) uint64 {
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

const acceptedPrefix = "accepted as revision "

// Guards against commands of camphorwickctl that do not work with the daemons. The
// fleet has 4 processes: 2 entries and 2 agents.
func TestCtlCommands(t *testing.T) {
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 1, Orders: 1})
	o := newOperator(ctx, f, "amal")
	dir := t.TempDir()
	mustContain(t, o.mustRun(t, "", "list"), "plan/standard", "client/tester")
	mustContain(t, o.mustRun(t, "", "list", "plans", "-o", "json"), `"plan/standard"`)
	mustContain(t, o.mustRun(t, "", "get", "plan/standard"), `"models"`)
	mustContain(t, o.mustRun(t, `{"models":["standin"]}`, "edit", "plan/night", "--file", "-", "--wait", "20s"), acceptedPrefix, "in force on 4 of 4")
	mustContain(t, o.mustRun(t, "", "edit", "plan/night", "--set", "concurrency=4"), acceptedPrefix)
	mustContain(t, o.mustRun(t, "", "get", "plan/night"), `"concurrency": 4`, "standin")
	file := filepath.Join(dir, "plans.json")
	o.mustRun(t, "", "export", "plans", "--file", file)
	mustContain(t, o.mustRun(t, "", "diff", file), "no differences")
	mustContain(t, o.mustRun(t, "", "validate", file), "2 plans are valid")
	replaceInFile(t, file, `"concurrency": 4`, `"concurrency": 9`)
	mustContain(t, o.mustRun(t, "", "apply", file, "--dry-run"), "change plan/night", "+   \"concurrency\": 9")
	mustContain(t, o.mustRun(t, "", "diff", file), "change plan/night") // the dry run changed nothing
	mustContain(t, o.mustRun(t, "", "apply", file, "--wait", "20s"), acceptedPrefix)
	mustContain(t, o.mustRun(t, "", "apply", file), "no differences")
	mustContain(t, o.mustRun(t, "", "delete", "plan/night"), acceptedPrefix)
	mustContain(t, o.mustFail(t, ctlInvalid, "get", "plan/night"), "does not exist")
	mustContain(t, o.mustRun(t, "", "mark", "server-1", "leaving", "--wait", "20s"), acceptedPrefix)
	mustContain(t, o.mustRun(t, "", "fleet"), "STATE", "server-1", "leaving", "entry-2")
	mustContain(t, o.mustRun(t, "", "fleet", "-o", "json"), `"vm": "server-1"`)
	mustContain(t, o.mustRun(t, "", "unmark", "server-1"), acceptedPrefix)
	// An idle agent may stop before it confirms the mark; the wait must succeed
	// all the same.
	mustContain(t, o.mustRun(t, "", "mark", "order-server-1", "stopping", "--wait", "20s"), acceptedPrefix)
	<-f.Agents[1].Done()
	awaitState(t, o, "order-server-1", "unreachable")                            // not draining: the process has ended
	mustContain(t, o.mustRun(t, "", "unmark", "order-server-1"), acceptedPrefix) // before the start: a marked process would stop again
	is.New(t).NoErr(f.StartDaemon(f.Agents[1]))
	awaitState(t, o, "order-server-1", "live")
	mustContain(t, o.mustRun(t, "", "wait", "--limit", "20s"), "in force on 4 of 4")
	is.New(t).NoErr(f.Stop())
}

// awaitState polls the fleet table until a VM has the state.
func awaitState(t *testing.T, o operator, vm, state string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; {
		table := o.mustRun(t, "", "fleet")
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

// Guards against exit codes that differ from the documented ones, and against a
// command that fails although one of several entries answers.
func TestCtlExitCodes(t *testing.T) {
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 1})
	o := newOperator(ctx, f, "amal")
	o.mustFail(t, ctlUsage, "no-such-command")
	o.mustFail(t, ctlUsage, "edit", "plan/standard")
	o.mustFail(t, ctlInvalid, "edit", "plan/standard", "--set", "no_such_field=1")
	o.mustFail(t, ctlInvalid, "edit", "client/new", "--set", "plan=absent", "--set", "key_hashes=[]")
	o.mustFail(t, ctlInvalid, "delete", "plan/standard") // an account uses it
	stranger := o
	stranger.key = "wrong"
	stranger.mustFail(t, ctlUnauthenticated, "edit", "plan/standard", "--set", "weight=2")
	unreachable := o
	unreachable.entries = []string{refusingAddress}
	unreachable.mustFail(t, ctlConnection, "list")
	second := o
	second.entries = append([]string{refusingAddress}, o.entries...)
	mustContain(t, second.mustRun(t, "", "edit", "plan/standard", "--set", "weight=2"), acceptedPrefix)
	is := is.New(t)
	is.NoErr(f.Faults(f.Platform, http.MethodPut, "/faults", map[string]any{"outage": "refuse"}))
	mustContain(t, o.mustFail(t, ctlUnavailable, "edit", "plan/standard", "--set", "weight=3"), "store_unavailable")
	is.NoErr(f.Faults(f.Platform, http.MethodDelete, "/faults", nil))
	mustContain(t, o.mustRun(t, "", "get", "plan/standard"), `"weight": 2`)
	is.NoErr(f.Stop())
}

// Guards against an edit of one item or of a whole list that silently overwrites
// the edit of another operator.
func TestCtlConflict(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2})
	first, second := newOperator(ctx, f, "amal"), newOperator(ctx, f, "badr")
	file := filepath.Join(t.TempDir(), "plans.json")
	first.mustRun(t, "", "export", "plans", "-f", file)
	seen, err := f.ItemRevision(f.Entries[0], "plan/standard")
	is.NoErr(err)
	second.mustRun(t, "", "edit", "plan/standard", "--set", "weight=7")
	output := first.mustFail(t, ctlConflict, "edit", "plan/standard", "--set", "weight=3", "--expect-revision", jsonNumber(seen))
	mustContain(t, output, "operator: badr", `"weight":7`, "your edit is not in force")
	replaceInFile(t, file, `"weight": 1`, `"weight": 3`)
	mustContain(t, first.mustFail(t, ctlConflict, "apply", file), "operator: badr")
	second.mustRun(t, `{"models":["standin"]}`, "edit", "plan/standard", "--set", "weight=1")
	second.mustRun(t, `{"models":["standin"]}`, "edit", "plan/added", "--file", "-")
	first.mustRun(t, "", "export", "plans", "-f", file)
	second.mustRun(t, `{"models":["standin"]}`, "edit", "plan/later", "--file", "-")
	mustContain(t, first.mustFail(t, ctlConflict, "apply", file), "plan/later") // would delete what badr added
	mustContain(t, first.mustRun(t, "", "get", "plan/later"), "standin")
	is.NoErr(f.Stop())
}

// Guards against a retried edit that takes effect twice or reverts a later edit.
func TestCtlRepeatedEdit(t *testing.T) {
	ctx, f := start(t, fleet.Options{Entries: 2})
	o, other := newOperator(ctx, f, "amal"), newOperator(ctx, f, "badr")
	file := filepath.Join(t.TempDir(), "plans.json")
	edit := []string{"edit", "plan/standard", "--set", "weight=5", "--edit-id", "repeat-1", "--since", "1"}
	revision := parseRevision(t, o.mustRun(t, "", edit...), acceptedPrefix)
	o.mustRun(t, "", "export", "plans", "-f", file)
	replaceInFile(t, file, `"weight": 5`, `"weight": 6`)
	apply := []string{"apply", file, "--edit-id", "repeat-2", "--since", jsonNumber(revision)}
	applied := parseRevision(t, o.mustRun(t, "", apply...), acceptedPrefix)
	last := parseRevision(t, other.mustRun(t, "", "edit", "plan/standard", "--set", "weight=7", "--wait", "20s"), acceptedPrefix)
	is := is.New(t)
	is.Equal(parseRevision(t, o.mustRun(t, "", edit...), "accepted earlier as revision "), revision)
	is.Equal(parseRevision(t, o.mustRun(t, "", apply...), "accepted earlier as revision "), applied)
	mustContain(t, o.mustRun(t, "", "get", "plan/standard"), `"weight": 7`)
	mustContain(t, o.mustRun(t, "", "wait"), "revision "+jsonNumber(last)+" is in force")
	replaceInFile(t, file, `"weight": 6`, `"weight": 8`)
	mustContain(t, o.mustFail(t, ctlInvalid, apply...), "other changes") // the id is in use
	is.NoErr(f.Stop())
}

// Guards against an edit that is reported as refused, or takes effect twice, after
// the response of the store was lost.
func TestCtlLostStoreAnswer(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2})
	o := newOperator(ctx, f, "amal")
	rule := map[string]any{"fault": "lose_answer", "operation": "put", "key_prefix": "config/head", "count": 1}
	is.NoErr(f.Faults(f.Platform, http.MethodPut, "/faults", map[string]any{"rules": []any{rule}}))
	first := parseRevision(t, o.mustRun(t, "", "edit", "plan/standard", "--set", "weight=2"), acceptedPrefix)
	var stats struct {
		Injected map[string]int `json:"injected"`
	}
	is.NoErr(f.Stats(f.Platform, "/stats", &stats))
	is.Equal(stats.Injected["lose_answer"], 1)
	second := parseRevision(t, o.mustRun(t, "", "edit", "plan/standard", "--set", "weight=3"), acceptedPrefix)
	is.Equal(second, first+1)
	is.NoErr(f.Stop())
}

// Guards against an edit that may still be accepted but is reported as refused:
// the store delays the write until after the command has ended.
func TestCtlHeldWrite(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2})
	o := newOperator(ctx, f, "amal")
	rule := map[string]any{"fault": "hold", "operation": "put", "key_prefix": "config/head"}
	is.NoErr(f.Faults(f.Platform, http.MethodPut, "/faults", map[string]any{"rules": []any{rule}}))
	output := o.mustFail(t, ctlInDoubt, "edit", "plan/standard", "--set", "weight=2", "--edit-id", "held", "--resolve-limit", "1s")
	mustContain(t, output, "may be in force", "--edit-id held --since ")
	since := parseRevision(t, strings.ReplaceAll(output, ":", " "), "--since ")
	is.NoErr(f.Faults(f.Platform, http.MethodDelete, "/faults", nil))
	is.NoErr(f.Faults(f.Platform, http.MethodPost, "/faults/release", nil))
	o.mustRun(t, "", "edit", "plan/standard", "--set", "weight=2", "--edit-id", "held", "--since", jsonNumber(since))
	mustContain(t, o.mustRun(t, "", "wait"), "revision "+jsonNumber(since+1)+" is in force") // accepted exactly once
	is.NoErr(f.Stop())
}

// losingProxy forwards requests to an entry and drops the responses to edits.
func losingProxy(t *testing.T, address string) string {
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		forwarded, err := http.NewRequest(r.Method, "http://"+address+r.URL.String(), r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		forwarded.Header = r.Header
		answer, err := http.DefaultClient.Do(forwarded)
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

// Guards against an edit that is reported as refused, or takes effect twice, after
// the response of the entry was lost.
func TestCtlLostEntryAnswer(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2})
	o := newOperator(ctx, f, "amal")
	proxy := losingProxy(t, o.entries[0])
	lossy, both := o, o
	lossy.entries, both.entries = []string{proxy}, []string{proxy, o.entries[1]}
	first := parseRevision(t, both.mustRun(t, "", "edit", "plan/standard", "--set", "weight=2", "--wait", "20s"), acceptedPrefix)
	output := lossy.mustFail(t, ctlInDoubt, "edit", "plan/standard", "--set", "weight=3", "--resolve-limit", "1s")
	mustContain(t, output, "may be in force")
	mustContain(t, o.mustRun(t, "", "wait"), "revision "+jsonNumber(first+1)+" is in force")
	mustContain(t, o.mustRun(t, "", "get", "plan/standard"), `"weight": 3`)
	is.NoErr(f.Stop())
}

// Guards against a wait that does not name the processes on which a revision is
// not in force, and against a marked entry that is not counted. The fleet has 4
// processes: 2 entries and 2 agents.
func TestCtlWaitNamesPausedProcess(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 2, Engines: 2})
	o := newOperator(ctx, f, "amal")
	is.NoErr(f.Agents[1].Signal(syscall.SIGSTOP))
	o.mustRun(t, "", "edit", "plan/standard", "--set", "weight=2")
	output := o.mustFail(t, ctlNotInForce, "wait", "--limit", "3s")
	mustContain(t, output, "in force on 3 of 4", "server-2")
	is.True(!strings.Contains(output, "server-1"))
	is.NoErr(f.Agents[1].Signal(syscall.SIGCONT))
	mustContain(t, o.mustRun(t, "", "wait", "--limit", "20s"), "in force on 4 of 4")
	// A marked entry is still counted, since callers may still reach it.
	is.NoErr(f.Entries[1].Signal(syscall.SIGSTOP))
	output = o.mustFail(t, ctlNotInForce, "mark", "entry-2", "stopping", "--wait", "5s")
	mustContain(t, output, acceptedPrefix, "in force on 3 of 4", "entry-2")
	is.NoErr(f.Entries[1].Signal(syscall.SIGCONT))
	is.NoErr(f.Stop())
}
