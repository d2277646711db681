package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"camphorwick.dev/ctl"
)

// errItemNotFound is returned if an item does not exist.
var errItemNotFound = errors.New("the item does not exist")

// errEditIDInUse is returned if an edit id belongs to an edit with other changes.
var errEditIDInUse = errors.New("the id belongs to an accepted edit with other changes")

// addCommands adds all commands to the parser. Each long description ends with
// examples.
func (a *app) addCommands(parser *flags.Parser) {
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"list", "list items", "Lists the items of one list, or all.\n\nExamples:\ncamphorwickctl list\ncamphorwickctl list clients\ncamphorwickctl list plans -o json", &listCommand{app: a}},
		{"get", "show one item", "Shows the document of an item; its revision goes to standard error.\n\nExamples:\ncamphorwickctl get plan/standard\ncamphorwickctl get client/drawing-office", &getCommand{app: a}},
		{"edit", "add or change an item", "Sets an item to a document from a file or standard input, or changes single fields. The edit is refused if another operator has changed the item since its revision was read.\n\nExamples:\ncamphorwickctl edit plan/standard --set concurrency=40\ncamphorwickctl edit client/drawing-office --set plan=bulk --wait 10s\ncamphorwickctl edit plan/night --file night.json\ncamphorwickctl edit plan/night --file - < night.json\ncamphorwickctl edit plan/standard --set weight=4 --expect-revision 17", &editCommand{app: a}},
		{"delete", "delete an item", "Deletes an item. A plan that accounts use cannot be deleted.\n\nExamples:\ncamphorwickctl delete client/trial\ncamphorwickctl delete plan/night --wait 10s", &deleteCommand{app: a}},
		{"diff", "compare a list file with what is in force", "Shows what apply would change: lines with - are in force, lines with + are in the file.\n\nExamples:\ncamphorwickctl diff plans.json\ncamphorwickctl diff - < clients.json", &diffCommand{app: a}},
		{"validate", "check a list file", "Checks every document of a list file here and at an entry and changes nothing. Whether a plan exists is checked only by apply.\n\nExamples:\ncamphorwickctl validate clients.json", &validateCommand{app: a}},
		{"mark", "mark a VM as leaving or stopping", "Marks a VM: it gets no new work, finishes what it has and reports draining.\n\nExamples:\ncamphorwickctl mark server-7 leaving\ncamphorwickctl mark entry-2 stopping --wait 10s", &markCommand{app: a}},
		{"unmark", "remove the mark of a VM", "Removes the mark of a VM; an agent takes new work again.\n\nExamples:\ncamphorwickctl unmark server-7", &unmarkCommand{app: a}},
		{"wait", "wait until a revision is in force everywhere", "Polls until a revision is in force on N of N processes, or names the processes where it is not when the time is over.\n\nExamples:\ncamphorwickctl wait\ncamphorwickctl wait --revision 42 --limit 10s", &waitCommand{app: a}},
		{"fleet", "show the fleet", "Shows every VM with its state, mark, configuration revision and load.\n\nExamples:\ncamphorwickctl fleet\ncamphorwickctl fleet -o json", &fleetCommand{app: a}},
		{"servers", "show what servers report of themselves", "Shows what backend servers have told gateways of themselves: that they leave, that they want no requests for a while, or requests of which the gateways do not know. Needs no administration key.\n\nExamples:\ncamphorwickctl servers -g 10.1.0.40:8220 -g 10.2.0.29:8220\ncamphorwickctl servers -g 10.1.0.40:8220 -o json", &serversCommand{app: a}},
		{"quarantine", "show or lift refused parts of prompts", "Shows the parts of prompts that gateways refuse because servers crash on them, or ends the quarantine of one part on all gateways. Needs no administration key.\n\nExamples:\ncamphorwickctl quarantine -g 10.1.0.40:8220\ncamphorwickctl quarantine -g 10.1.0.40:8220 --lift bad0", &quarantineCommand{app: a}},
		{"check-config", "check a platform configuration before it is sent", "Checks a configuration of the users' platform: errors, entries that can never match a request, limits that contradict each other, and what differs from the version in force. Changes nothing and needs no administration key. Exits with 5 if there are errors; warnings alone do not change the exit code.\n\nExamples:\ncamphorwickctl check-config next.json --in-force current.json\ncamphorwickctl check-config next.json --region muscat-a:muscat -o json", &checkConfigCommand{app: a}},
		{"export", "write a list as a file", "Writes a list with its revisions to a file or standard output. An apply of the file is refused if another operator has changed an item in the meantime.\n\nExamples:\ncamphorwickctl export clients --file clients.json\ncamphorwickctl export plans", &exportCommand{app: a}},
		{"apply", "replace a list by a file", "Shows the difference and commits it as one edit. Items that are not in the file are DELETED. Apply plans before the clients that use them.\n\nExamples:\ncamphorwickctl apply plans.json --dry-run\ncamphorwickctl apply plans.json --wait 10s\ncamphorwickctl apply plans.json --edit-id 0198c0de-plans --since 41", &applyCommand{app: a}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err) // a command struct is invalid
		}
	}
}

// outputFormat is the option that selects the format of the output.
type outputFormat struct {
	Output string `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
}

type listCommand struct {
	app *app
	outputFormat
	Args struct {
		List string `positional-arg-name:"LIST" description:"clients, plans, models or marks; default: all"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	prefix, ok := ctl.Prefixes[c.Args.List]
	if c.Args.List != "" && !ok {
		return usageError("LIST must be clients, plans, models or marks")
	}
	client, err := c.app.client()
	if err != nil {
		return err
	}
	config, err := client.Config(c.app.ctx, prefix)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return ctl.WriteJSON(c.app.out, config)
	}
	return ctl.WriteItems(c.app.out, config)
}

// keyArgument is the key of an item.
type keyArgument struct {
	Args struct {
		Key string `positional-arg-name:"KEY" description:"client/NAME, plan/NAME or mark/VM"`
	} `positional-args:"yes" required:"yes"`
}

type getCommand struct {
	app *app
	keyArgument
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	config, err := client.Config(c.app.ctx, c.Args.Key)
	if err != nil {
		return err
	}
	item, ok := config.Item(c.Args.Key)
	if !ok {
		return &ctl.InputError{Source: c.Args.Key, Cause: errItemNotFound}
	}
	fmt.Fprintf(c.app.err, "revision %d\n", item.Revision)
	return ctl.WriteJSON(c.app.out, item.Value)
}

type validateCommand struct {
	app *app
	fileArgument
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	list, client, err := c.listAndClient(c.app)
	if err != nil {
		return err
	}
	edit := ctl.Edit{Operator: "validate"}
	for _, d := range list.Diff(&ctl.Config{}) {
		edit.Changes = append(edit.Changes, d.Change)
	}
	if len(edit.Changes) > 0 {
		if err := client.Validate(c.app.ctx, edit); err != nil {
			return err
		}
	}
	fmt.Fprintf(c.app.out, "%d %s are valid\n", len(list.Items), list.List)
	return nil
}

// fileArgument is the path of a list file.
type fileArgument struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"list file, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// listAndClient returns the list of the file and a client for the entries.
func (f *fileArgument) listAndClient(a *app) (*ctl.List, *ctl.Client, error) {
	data, err := a.readFile(f.Args.File)
	if err != nil {
		return nil, nil, err
	}
	list, err := ctl.ParseList(f.Args.File, data)
	if err != nil {
		return nil, nil, err
	}
	client, err := a.client()
	return list, client, err
}

type diffCommand struct {
	app *app
	fileArgument
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	list, client, err := c.listAndClient(c.app)
	if err != nil {
		return err
	}
	config, err := client.Config(c.app.ctx, ctl.Prefixes[list.List])
	if err != nil {
		return err
	}
	ctl.WriteDiff(c.app.out, list.Diff(config))
	return nil
}

type exportCommand struct {
	app  *app
	File string `short:"f" long:"file" default:"-" description:"file to write, or - for standard output" value-name:"FILE"`
	Args struct {
		List string `positional-arg-name:"LIST" description:"clients or plans"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *exportCommand) Execute([]string) error {
	if c.Args.List != "clients" && c.Args.List != "plans" {
		return usageError("LIST must be clients or plans")
	}
	client, err := c.app.client()
	if err != nil {
		return err
	}
	config, err := client.Config(c.app.ctx, ctl.Prefixes[c.Args.List])
	if err != nil {
		return err
	}
	list := ctl.Export(c.Args.List, config)
	if c.File == "-" {
		return ctl.WriteJSON(c.app.out, list)
	}
	data, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return fmt.Errorf("encode list: %w", err)
	}
	if err := os.WriteFile(c.File, append(data, '\n'), 0o600); err != nil {
		return &ctl.InputError{Source: "file", Cause: err}
	}
	return nil
}

type waitCommand struct {
	app      *app
	Revision uint64        `long:"revision" description:"revision to wait for; default: the current one of the entry"`
	Limit    time.Duration `long:"limit" default:"30s" description:"longest time to wait"`
}

// Execute implements flags.Commander.
func (c *waitCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	revision := c.Revision
	if revision == 0 {
		config, err := client.Config(c.app.ctx, "mark/")
		if err != nil {
			return err
		}
		revision = config.Revision
	}
	return c.app.wait(client, revision, c.Limit)
}

// wait waits until a revision is in force on all processes and prints on how many
// it is.
func (a *app) wait(client *ctl.Client, revision uint64, timeout time.Duration) error {
	status, err := client.Wait(a.ctx, revision, timeout)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "revision %d is in force on %d of %d\n", revision, status.Confirmed, status.Total)
	for _, vm := range status.Stopped {
		fmt.Fprintf(a.out, "not counted: %s, marked as stopping and unresponsive for %d ms\n", vm.VM, vm.AgeMS)
	}
	return nil
}

type fleetCommand struct {
	app *app
	outputFormat
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	fleet, err := client.Fleet(c.app.ctx)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return ctl.WriteJSON(c.app.out, fleet)
	}
	return ctl.WriteFleet(c.app.out, fleet)
}
