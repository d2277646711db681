package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"

	"camphorwick.dev/fleetconf"
)

// Prefixes maps the names of the lists to their key prefixes.
var Prefixes = map[string]string{
	"clients": fleetconf.ClientPrefix,
	"plans":   fleetconf.PlanPrefix,
	"marks":   fleetconf.MarkPrefix,
	"models":  fleetconf.ModelPrefix,
}

// ErrInvalidList is returned for a malformed list file.
var ErrInvalidList = errors.New("not a valid list file")

// List is the content of a list file.
type List struct {
	// List is "clients" or "plans".
	List string `json:"list"`
	// Revision is the revision of the configuration at the export, and
	// Revisions those of the items by name. A list without them was written by
	// hand and replaces the items in force unconditionally.
	Revision  uint64            `json:"revision,omitempty"`
	Revisions map[string]uint64 `json:"revisions,omitempty"`
	// Items are the values (JSON documents) by account or plan name.
	Items map[string]json.RawMessage `json:"items"`
}

// ParseList decodes and validates a list file. It validates each document as an
// entry does, but not the references between lists. Errors are *InputError.
func ParseList(source string, data []byte) (*List, error) {
	list := &List{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(list); err != nil {
		return nil, &InputError{source, fmt.Errorf("%w: %w", ErrInvalidList, err)}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &InputError{source, fmt.Errorf("%w: data after the list", ErrInvalidList)}
	}
	if list.List != "clients" && list.List != "plans" {
		return nil, &InputError{source, fmt.Errorf("%w: \"list\" is %q; allowed: clients, plans", ErrInvalidList, list.List)}
	}
	if list.Items == nil {
		return nil, &InputError{source, fmt.Errorf("%w: \"items\" is missing", ErrInvalidList)}
	}
	for name, document := range list.Items {
		canonical, err := Canonical(Prefixes[list.List]+name, document)
		if err != nil {
			return nil, &InputError{source, err}
		}
		list.Items[name] = canonical
	}
	return list, nil
}

// Canonical validates a document and returns it in the form in which entries
// store it, so that equal documents have equal bytes.
func Canonical(key string, document []byte) (json.RawMessage, error) {
	parsed, err := fleetconf.ParseItem(key, document)
	if err != nil {
		return nil, fmt.Errorf("item %q: %w", key, err)
	}
	value, err := json.Marshal(parsed)
	if err != nil {
		return nil, fmt.Errorf("encode item %q: %w", key, err)
	}
	return value, nil
}

// Export returns the list with the items in force.
func Export(name string, config *Config) *List {
	list := &List{List: name, Revision: config.Revision, Revisions: map[string]uint64{}, Items: map[string]json.RawMessage{}}
	for _, item := range config.Items {
		itemName := strings.TrimPrefix(item.Key, Prefixes[name])
		list.Items[itemName], list.Revisions[itemName] = item.Value, item.Revision
	}
	return list
}

// Difference is an item that differs between a list and the items in force. Change
// makes the item as in the list, InForce is the item in force. A nil value means
// that the item is absent there.
type Difference struct {
	Change
	InForce Item
}

// Diff compares the list with the items in force, ordered by key.
func (l *List) Diff(config *Config) []Difference {
	var all []Difference
	prefix, seen := Prefixes[l.List], map[string]bool{}
	for name, value := range l.Items {
		seen[prefix+name] = true
		item, _ := config.Item(prefix + name)
		if !bytes.Equal(item.Value, value) {
			all = append(all, Difference{Change{item.Key, value, l.expectedRevision(name, item)}, item})
		}
	}
	for _, item := range config.Items {
		if !seen[item.Key] {
			name := strings.TrimPrefix(item.Key, prefix)
			all = append(all, Difference{Change{item.Key, nil, l.expectedRevision(name, item)}, item})
		}
	}
	sort.Slice(all, func(a, b int) bool { return all[a].Key < all[b].Key })
	return all
}

// expectedRevision returns the item revision that the list is based on. It is 0
// for an item that was added after the export, so that replacing or deleting the
// item is a conflict.
func (l *List) expectedRevision(name string, inForce Item) uint64 {
	if l.Revision > 0 {
		return l.Revisions[name]
	}
	return inForce.Revision
}

// Matches reports whether an accepted edit may have come from applying the list:
// each of its changes makes an item as in the list, or deletes one that the list
// does not have.
func (l *List) Matches(edit *AcceptedEdit) bool {
	for _, change := range edit.Changes {
		name, ok := strings.CutPrefix(change.Key, Prefixes[l.List])
		if !ok {
			return false
		}
		value, listed := l.Items[name]
		if listed != (string(change.Value) != "null") || listed && !bytes.Equal(value, change.Value) {
			return false
		}
	}
	return true
}

// SetFields returns a document with top-level fields replaced. A field has the
// form NAME=VALUE, where VALUE is JSON or else a string; an empty VALUE
// removes the field.
func SetFields(document []byte, fields []string) (json.RawMessage, error) {
	values := map[string]json.RawMessage{}
	if len(document) > 0 {
		if err := json.Unmarshal(document, &values); err != nil {
			return nil, &InputError{"document", err}
		}
	}
	for _, field := range fields {
		name, text, ok := strings.Cut(field, "=")
		if !ok || name == "" {
			return nil, &InputError{"--set " + field, errors.New("the form is NAME=VALUE")}
		}
		switch {
		case text == "":
			delete(values, name)
		case json.Valid([]byte(text)):
			values[name] = json.RawMessage(text)
		default:
			quoted, err := json.Marshal(text)
			if err != nil {
				return nil, &InputError{"--set " + field, err}
			}
			values[name] = quoted
		}
	}
	return json.Marshal(values)
}
