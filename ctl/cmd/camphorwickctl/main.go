// Command camphorwickctl edits the configuration of a fleet (plans, client accounts
// and models), marks VMs and shows on which processes a revision is in force.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/ctl"
)

// Exit codes, as printed by --help.
const (
	exitFailed          = 1
	exitUsage           = 2
	exitConnection      = 3
	exitUnauthenticated = 4
	exitInvalid         = 5
	exitConflict        = 6
	exitInDoubt         = 7
	exitNotInForce      = 8
	exitUnavailable     = 9
)

const description = `Edits the lists of a fleet, marks VMs and shows where the configuration is in force.

The administration key is read from the file given with --key-file or CAMPHORWICK_ADMIN_KEY_FILE, or from the environment variable CAMPHORWICK_ADMIN_KEY; there is no option for the key itself, since other users of the VM can read command lines.

Exit codes:
0  done
1  other failure
2  usage
3  no entry answered; nothing was changed
4  the administration key is missing or unknown
5  a file, document, argument or edit is not valid, or an item does not exist
6  another operator changed the item; nothing was changed
7  an edit is in doubt: it may be in force
8  the revision is not in force everywhere in time
9  refused for now, for example because the store is down; nothing was changed`

// globalOptions apply to every command.
type globalOptions struct {
	Entries  []string `short:"e" long:"entry" env:"CAMPHORWICK_ENTRIES" env-delim:"," description:"administration address of an entry, IP:port or URL; may be repeated, the entries are tried in turn" value-name:"ADDRESS"`
	KeyFile  string   `short:"k" long:"key-file" env:"CAMPHORWICK_ADMIN_KEY_FILE" description:"file with the administration key" value-name:"FILE"`
	Operator string   `long:"operator" env:"CAMPHORWICK_OPERATOR" description:"name that other operators see; default: the user name" value-name:"NAME"`
}

// app holds the global options and the streams that all commands use.
type app struct {
	globalOptions
	ctx context.Context
	in  io.Reader
	out io.Writer
	err io.Writer // standard error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string, in io.Reader, out, stderr io.Writer) int {
	a := &app{ctx: ctx, in: in, out: out, err: stderr}
	parser := flags.NewParser(&a.globalOptions, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "camphorwickctl"
	parser.LongDescription = description
	a.addCommands(parser)
	_, err := parser.ParseArgs(args)
	if err == nil {
		return 0
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(out, err)
		return 0
	}
	fmt.Fprintln(stderr, "camphorwickctl:", err)
	a.explainConflict(err)
	return exitCode(err)
}

// exitCode maps an error to the documented exit code.
func exitCode(err error) int {
	var usage *flags.Error
	var doubt *ctl.DoubtError
	var connection *ctl.ConnectionError
	var notInForce *ctl.NotInForceError
	var input *ctl.InputError
	var refused *ctl.APIError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &doubt):
		return exitInDoubt
	case errors.As(err, &connection):
		return exitConnection
	case errors.As(err, &notInForce):
		return exitNotInForce
	case errors.As(err, &input):
		return exitInvalid
	case errors.As(err, &refused):
		return refusalExitCode(refused.Code)
	}
	return exitFailed
}

func refusalExitCode(code outcome.Code) int {
	switch code {
	case outcome.Unauthenticated:
		return exitUnauthenticated
	case outcome.InvalidRequest, outcome.NotFound:
		return exitInvalid
	case outcome.EditConflict:
		return exitConflict
	}
	return exitUnavailable // all other codes are refusals for now, such as store_unavailable
}

// explainConflict prints, after a conflict, who changed the item, its revision and
// its value in force.
func (a *app) explainConflict(err error) {
	var refused *ctl.APIError
	var doubt *ctl.DoubtError
	if errors.As(err, &doubt) || !errors.As(err, &refused) || refused.Conflict == nil {
		return
	}
	c := refused.Conflict
	fmt.Fprintf(a.err, "%s was changed by another operator; your edit is not in force.\n", c.Key)
	fmt.Fprintf(a.err, "  operator: %s, edit: %s\n", orUnknown(c.Operator), orUnknown(c.EditID))
	fmt.Fprintf(a.err, "  revision of the item: %d, you expected %d\n", c.ActualRevision, c.ExpectedRevision)
	client, err := a.client()
	if err != nil {
		return
	}
	config, err := client.Config(a.ctx, c.Key)
	if err != nil {
		fmt.Fprintf(a.err, "  the value in force cannot be read: %v\n", err)
		return
	}
	if item, ok := config.Item(c.Key); ok {
		fmt.Fprintf(a.err, "  in force: %s\n", item.Value)
		return
	}
	fmt.Fprintln(a.err, "  in force: deleted")
}

func orUnknown(s string) string {
	if s == "" {
		return "not known any more" // the store lists the operators and ids of recent edits only
	}
	return s
}

// client returns a client with the entries and the key of the options.
func (a *app) client() (*ctl.Client, error) {
	if len(a.Entries) == 0 {
		return nil, usageError("no entry is given; use --entry or CAMPHORWICK_ENTRIES")
	}
	key := os.Getenv("CAMPHORWICK_ADMIN_KEY")
	if a.KeyFile != "" {
		data, err := os.ReadFile(a.KeyFile)
		if err != nil {
			return nil, &ctl.InputError{Source: "administration key", Cause: err}
		}
		key = string(data)
	}
	if key = strings.TrimSpace(key); key == "" {
		return nil, usageError("no administration key is given; use --key-file or CAMPHORWICK_ADMIN_KEY")
	}
	return ctl.New(ctl.Options{Addresses: a.Entries, Key: key}), nil
}

// operator returns the name of the operator from the option, USER or LOGNAME.
func (a *app) operator() (string, error) {
	for _, name := range []string{a.Operator, os.Getenv("USER"), os.Getenv("LOGNAME")} {
		if name != "" {
			return name, nil
		}
	}
	return "", usageError("no operator name is given; use --operator or CAMPHORWICK_OPERATOR")
}

func usageError(message string) error {
	return &flags.Error{Type: flags.ErrRequired, Message: message}
}

// readFile reads a file, or standard input for "-".
func (a *app) readFile(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(a.in)
		if err != nil {
			return nil, &ctl.InputError{Source: "standard input", Cause: err}
		}
		return data, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &ctl.InputError{Source: "file", Cause: err}
	}
	return data, nil
}
