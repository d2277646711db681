package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"camphorwick.dev/ctl"
	"camphorwick.dev/fleetconf"
)

// editOptions are the options of all commands that commit an edit.
type editOptions struct {
	EditID  string        `long:"edit-id" description:"id of the edit; give the id and --since of an edit in doubt to repeat it" value-name:"ID"`
	Since   uint64        `long:"since" description:"revision before the first try of a repeated edit" value-name:"REVISION"`
	Resolve time.Duration `long:"resolve-limit" default:"30s" description:"longest time to find out about an edit in doubt" value-name:"TIME"`
	Wait    time.Duration `long:"wait" description:"wait so long until the edit is in force everywhere" value-name:"TIME"`
}

// retried reports whether an earlier run of the command may have sent the edit. A
// given id is enough, since a script may run again with the same id.
func (o *editOptions) retried() bool { return o.EditID != "" }

// commit sends the changes as one edit and prints its revision.
func (o *editOptions) commit(a *app, client *ctl.Client, baseRevision uint64, changes []ctl.Change) error {
	edit, err := o.newEdit(a, baseRevision, changes)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.err, "edit %s, based on revision %d\n", edit.ID, edit.Since)
	revision, err := client.Commit(a.ctx, edit, ctl.CommitOptions{Retried: o.retried(), Timeout: o.Resolve})
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "accepted as revision %d\n", revision)
	return o.waitInForce(a, client, revision)
}

func (o *editOptions) newEdit(a *app, baseRevision uint64, changes []ctl.Change) (ctl.Edit, error) {
	operator, err := a.operator()
	if err != nil {
		return ctl.Edit{}, err
	}
	edit := ctl.Edit{ID: o.EditID, Operator: operator, Since: baseRevision, Changes: changes}
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	if o.Since > 0 {
		edit.Since = o.Since
	}
	return edit, nil
}

func (o *editOptions) waitInForce(a *app, client *ctl.Client, revision uint64) error {
	if o.Wait == 0 {
		return nil
	}
	return a.wait(client, revision, o.Wait)
}

// expectedRevision returns the item revision that an edit is based on. An item
// that changed after the first attempt of a retried edit must cause a conflict,
// unless the edit itself changed it, which the entry detects by the edit id.
func (o *editOptions) expectedRevision(revision uint64) uint64 {
	if o.Since > 0 {
		return min(revision, o.Since)
	}
	return revision
}

// itemOptions are the options of commands that edit one item.
type itemOptions struct {
	editOptions
	ExpectRevision *uint64 `long:"expect-revision" description:"revision that the item must have, 0: absent; default: the one in force" value-name:"REVISION"`
}

// change commits a change of one item. build returns the new value from the item
// in force, or nil to delete the item.
func (o *itemOptions) change(a *app, key string, build func(ctl.Item) (json.RawMessage, error)) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	if done, err := o.alreadyAccepted(a, client, key); done || err != nil {
		return err
	}
	config, err := client.Config(a.ctx, key)
	if err != nil {
		return err
	}
	item, _ := config.Item(key)
	value, err := build(item)
	if err != nil {
		return err
	}
	expectedRevision := o.expectedRevision(item.Revision)
	if o.ExpectRevision != nil {
		expectedRevision = *o.ExpectRevision
	}
	return o.commit(a, client, config.Revision, []ctl.Change{{Key: key, Value: value, ExpectedRevision: expectedRevision}})
}

// alreadyAccepted reports whether the edit id belongs to an accepted edit. Without
// this check, a retry would build its document from later edits of other operators.
func (o *itemOptions) alreadyAccepted(a *app, client *ctl.Client, key string) (bool, error) {
	if !o.retried() {
		return false, nil
	}
	edit, err := client.Accepted(a.ctx, o.EditID, o.Since)
	if err != nil || edit == nil {
		return false, err
	}
	if len(edit.Changes) != 1 || edit.Changes[0].Key != key {
		return false, &ctl.InputError{Source: "edit id " + o.EditID, Cause: errEditIDInUse}
	}
	fmt.Fprintf(a.out, "accepted earlier as revision %d with the value %s\n", edit.Revision, edit.Changes[0].Value)
	return true, o.waitInForce(a, client, edit.Revision)
}

type editCommand struct {
	app *app
	itemOptions
	keyArgument
	File string   `short:"f" long:"file" description:"file with the document, or - for standard input" value-name:"FILE"`
	Set  []string `long:"set" description:"sets a top-level field; the value is JSON or else a string, an empty value removes the field; may be repeated" value-name:"NAME=VALUE"`
}

// Execute implements flags.Commander.
func (c *editCommand) Execute([]string) error {
	if c.File == "" && len(c.Set) == 0 {
		return usageError("--file or --set is needed")
	}
	return c.change(c.app, c.Args.Key, c.document)
}

// document returns the new document of the item in canonical form.
func (c *editCommand) document(item ctl.Item) (json.RawMessage, error) {
	document := item.Value
	if c.File != "" {
		data, err := c.app.readFile(c.File)
		if err != nil {
			return nil, err
		}
		document = data
	}
	if len(c.Set) > 0 {
		var err error
		if document, err = ctl.SetFields(document, c.Set); err != nil {
			return nil, err
		}
	}
	value, err := ctl.Canonical(c.Args.Key, document)
	if err != nil {
		return nil, &ctl.InputError{Source: "document", Cause: err}
	}
	return value, nil
}

type deleteCommand struct {
	app *app
	itemOptions
	keyArgument
}

// Execute implements flags.Commander.
func (c *deleteCommand) Execute([]string) error {
	return c.change(c.app, c.Args.Key, func(item ctl.Item) (json.RawMessage, error) {
		if item.Revision == 0 && !c.retried() {
			return nil, &ctl.InputError{Source: c.Args.Key, Cause: errItemNotFound}
		}
		return nil, nil
	})
}

type markCommand struct {
	app *app
	itemOptions
	Args struct {
		VM    string `positional-arg-name:"VM" description:"name of the VM"`
		State string `positional-arg-name:"STATE" description:"leaving or stopping"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *markCommand) Execute([]string) error {
	key := fleetconf.MarkPrefix + c.Args.VM
	return c.change(c.app, key, func(ctl.Item) (json.RawMessage, error) {
		data, err := json.Marshal(fleetconf.Mark{State: fleetconf.MarkState(c.Args.State)})
		if err != nil {
			return nil, fmt.Errorf("encode mark: %w", err)
		}
		if data, err = ctl.Canonical(key, data); err != nil {
			return nil, &ctl.InputError{Source: "mark", Cause: err}
		}
		return data, nil
	})
}

type unmarkCommand struct {
	app *app
	itemOptions
	Args struct {
		VM string `positional-arg-name:"VM" description:"name of the VM"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. Removing an absent mark is not an error.
func (c *unmarkCommand) Execute([]string) error {
	return c.change(c.app, fleetconf.MarkPrefix+c.Args.VM, func(ctl.Item) (json.RawMessage, error) { return nil, nil })
}

type applyCommand struct {
	app *app
	editOptions
	fileArgument
	DryRun bool `long:"dry-run" description:"only show the difference"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	list, client, err := c.listAndClient(c.app)
	if err != nil {
		return err
	}
	if done, err := c.alreadyAccepted(client, list); done || err != nil {
		return err
	}
	config, err := client.Config(c.app.ctx, ctl.Prefixes[list.List])
	if err != nil {
		return err
	}
	differences := list.Diff(config)
	ctl.WriteDiff(c.app.out, differences)
	if c.DryRun {
		return nil
	}
	if len(differences) == 0 {
		return c.waitInForce(c.app, client, config.Revision)
	}
	return c.commit(c.app, client, config.Revision, c.changes(list, differences))
}

// changes converts the differences to the changes of one edit.
func (c *applyCommand) changes(list *ctl.List, differences []ctl.Difference) []ctl.Change {
	changes := make([]ctl.Change, len(differences))
	for i, d := range differences {
		changes[i] = d.Change
		if list.Revision == 0 {
			changes[i].ExpectedRevision = c.expectedRevision(d.InForce.Revision)
		}
	}
	return changes
}

// alreadyAccepted reports whether the edit id belongs to an accepted edit. Without
// this check, a retry would revert a later edit of another operator.
func (c *applyCommand) alreadyAccepted(client *ctl.Client, list *ctl.List) (bool, error) {
	if !c.retried() || c.DryRun {
		return false, nil
	}
	edit, err := client.Accepted(c.app.ctx, c.EditID, c.Since)
	if err != nil || edit == nil {
		return false, err
	}
	if !list.Matches(edit) {
		return false, &ctl.InputError{Source: "edit id " + c.EditID, Cause: errEditIDInUse}
	}
	fmt.Fprintf(c.app.out, "accepted earlier as revision %d\n", edit.Revision)
	return true, c.waitInForce(c.app, client, edit.Revision)
}
