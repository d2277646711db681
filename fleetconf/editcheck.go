package fleetconf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
)

// canonicalEdit performs the checks that do not depend on other items and encodes
// the documents again, so that equal documents have equal bytes.
func canonicalEdit(edit *wire.Edit) (*wire.Edit, error) {
	if err := checkName("", "id", edit.GetId()); err != nil {
		return nil, err
	}
	if err := checkName("", "operator", edit.Operator); err != nil {
		return nil, err
	}
	if len(edit.Changes) == 0 {
		return nil, invalid("", "changes", "the edit changes nothing")
	}
	canonical := &wire.Edit{Id: edit.Id, Operator: edit.Operator, UnixMs: edit.UnixMs}
	seen, size := map[string]bool{}, 0
	for _, change := range edit.Changes {
		if seen[change.GetKey()] {
			return nil, invalid(change.Key, "", "the edit changes the item twice")
		}
		seen[change.GetKey()] = true
		value, err := canonicalValue(change)
		if err != nil {
			return nil, err
		}
		canonical.Changes = append(canonical.Changes, &wire.ItemChange{
			Key: change.Key, Value: value, ExpectedRevision: change.ExpectedRevision})
		size += len(change.Key) + len(value) + itemOverheadBytes
	}
	if size > MaxEditBytes {
		return nil, invalid("", "changes", "the edit has %d bytes, at most %d are allowed", size, MaxEditBytes)
	}
	return canonical, nil
}

func canonicalValue(change *wire.ItemChange) ([]byte, error) {
	if len(change.GetValue()) == 0 {
		prefix, name, _ := strings.Cut(change.GetKey(), "/")
		if !knownKind(prefix + "/") {
			return nil, invalid(change.GetKey(), "", "the kind of the item is not known")
		}
		return nil, checkName(change.GetKey(), "", name)
	}
	document, err := ParseItem(change.Key, change.Value)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(document)
	if err != nil {
		return nil, invalid(change.Key, "", "cannot be encoded: %v", err)
	}
	if len(value) > MaxItemBytes {
		return nil, invalid(change.Key, "", "the document has %d bytes, at most %d are allowed", len(value), MaxItemBytes)
	}
	return value, nil
}

// sameEdit reports whether accepted is what a commit of edit would have written: an
// edit by the same operator with all or some of the changes. Changes that were in
// force already are left out.
func sameEdit(edit, accepted *wire.Edit) bool {
	wanted := map[string][]byte{}
	for _, change := range edit.Changes {
		wanted[change.Key] = change.Value
	}
	for _, change := range accepted.Changes {
		if value, ok := wanted[change.Key]; !ok || !bytes.Equal(value, change.Value) {
			return false
		}
	}
	return edit.Operator == accepted.Operator
}

func newConflictError(head *wire.ConfigHead, change *wire.ItemChange, actual uint64) error {
	cause := &ConflictError{Item: change.Key, Expected: change.ExpectedRevision, Actual: actual}
	for _, e := range head.Edits {
		for _, other := range e.Changes {
			if other.Key == change.Key {
				cause.Operator, cause.EditID = e.Operator, e.Id
			}
		}
	}
	return outcome.Wrap(cause, outcome.EditConflict, "another edit changed the item")
}

// checkReferences checks the size of the configuration and, for the items of an
// edit, the rules that involve other items: a plan in use must not be deleted, an
// account needs an existing plan, and a key belongs to one account.
func checkReferences(before, after *Config, edit *wire.Edit) error {
	if after.snapshotBytes > MaxSnapshotBytes {
		return invalid(edit.Changes[0].Key, "", "the configuration would have %d bytes, at most %d are allowed", after.snapshotBytes, MaxSnapshotBytes)
	}
	for _, change := range edit.Changes {
		if name, ok := strings.CutPrefix(change.Key, PlanPrefix); ok && len(change.Value) == 0 {
			if n := after.accountsOnPlan(name); n > 0 {
				return invalid(change.Key, "", "the plan is used by %d accounts", n)
			}
		}
		if account, ok := strings.CutPrefix(change.Key, ClientPrefix); ok && len(change.Value) > 0 {
			if err := checkClient(before, after, account); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkClient(before, after *Config, account string) error {
	key := ClientPrefix + account
	client, _ := after.Client(account)
	if _, ok := after.Plan(client.Plan); !ok {
		return invalid(key, "plan", "the plan %q does not exist", client.Plan)
	}
	for i, h := range client.KeyHashes {
		field := fmt.Sprintf("key_hashes[%d]", i)
		if owner, _ := after.accounts.get(rawHash(h)); owner != account {
			return invalid(key, field, "the key belongs to the account %q too", owner)
		}
		// The index holds one account per key. The previous owner may list the key
		// still, although the edited account has replaced it in the index.
		owner, ok := before.accounts.get(rawHash(h))
		if ok && owner != account && holdsKey(after, owner, h) {
			return invalid(key, field, "the key belongs to the account %q", owner)
		}
	}
	return nil
}

func holdsKey(c *Config, account, hash string) bool {
	client, ok := c.Client(account)
	if !ok {
		return false
	}
	for _, h := range client.KeyHashes {
		if h == hash {
			return true
		}
	}
	return false
}
