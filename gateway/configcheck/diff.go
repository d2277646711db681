package configcheck

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"camphorwick.dev/gateway/routing"
)

// Difference is one entry that two versions do not have in common.
type Difference struct {
	// Subject is the entry, such as "route r-1" or "limits".
	Subject string `json:"subject"`
	// Change is "added", "removed" or "changed".
	Change string `json:"change"`
	// Fields are the changed fields with their values, old and new. Keys of accounts are
	// shown by a part of their hash.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a changed field.
type FieldChange struct {
	Name string `json:"name"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Diff returns what differs between the version in force and the next one, by entry.
func Diff(inForce, next *routing.Config) []Difference {
	var out []Difference
	out = append(out, diffEntries("route", inForce.Routes, next.Routes, func(r routing.Route) string { return r.Name })...)
	out = append(out, diffEntries("service", inForce.Services, next.Services, func(s routing.Service) string { return s.Name })...)
	out = append(out, diffEntries("account", inForce.Accounts, next.Accounts, func(a routing.Account) string { return a.Name })...)
	if fields := diffFields(inForce.Limits, next.Limits); len(fields) > 0 {
		out = append(out, Difference{"limits", "changed", fields})
	}
	return out
}

// diffEntries compares two lists of entries by their names, in the order of names.
func diffEntries[T any](kind string, old, next []T, name func(T) string) []Difference {
	before, after := map[string]T{}, map[string]T{}
	for _, e := range old {
		before[name(e)] = e
	}
	for _, e := range next {
		after[name(e)] = e
	}
	names := maps.Clone(before)
	maps.Copy(names, after)
	var out []Difference
	for _, n := range slices.Sorted(maps.Keys(names)) {
		o, had := before[n]
		a, has := after[n]
		subject := kind + " " + n
		switch {
		case !had:
			out = append(out, Difference{Subject: subject, Change: "added"})
		case !has:
			out = append(out, Difference{Subject: subject, Change: "removed"})
		default:
			if fields := diffFields(o, a); len(fields) > 0 {
				out = append(out, Difference{subject, "changed", fields})
			}
		}
	}
	return out
}

// diffFields compares the fields of two structures of the same type.
func diffFields(old, next any) []FieldChange {
	var out []FieldChange
	o, n := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range o.NumField() {
		if reflect.DeepEqual(o.Field(i).Interface(), n.Field(i).Interface()) {
			continue
		}
		name := o.Type().Field(i).Name
		out = append(out, FieldChange{name, show(name, o.Field(i)), show(name, n.Field(i))})
	}
	return out
}

// keyHashBytes is how much of the hash of a key is shown, enough to tell the keys of an
// account apart.
const keyHashBytes = 4

// show returns the text of a field's value.
func show(name string, v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	if keys, ok := v.Interface().([]string); ok && name == "Keys" {
		hashes := make([]string, 0, len(keys))
		for _, key := range keys {
			sum := sha256.Sum256([]byte(key))
			hashes = append(hashes, fmt.Sprintf("%x", sum[:keyHashBytes]))
		}
		return fmt.Sprint(hashes)
	}
	return fmt.Sprintf("%+v", v.Interface())
}
