package fleetconf

import "github.com/cespare/xxhash/v2"

// LiveEntry is an entry process that is considered live.
type LiveEntry struct {
	VM, DataCentre string
}

// IsWatcher reports whether the entry on vm follows the head in the store, for
// the processes of its data centre. These are the perDataCentre entries whose VM
// names have the highest hashes. live must contain vm itself. While entries see
// different live sets, a data centre may have too many watchers, which cost
// store calls, or too few, which delays edits. The configuration stays correct
// in both cases.
func IsWatcher(vm string, live []LiveEntry, perDataCentre int) bool {
	dataCentre, found := "", false
	for _, e := range live {
		if e.VM == vm {
			dataCentre, found = e.DataCentre, true
		}
	}
	if !found {
		return false
	}
	higherRanked := map[string]bool{} // a set, so that a VM that live lists twice counts once
	for _, e := range live {
		if e.DataCentre == dataCentre && outranks(e.VM, vm) {
			higherRanked[e.VM] = true
		}
	}
	return len(higherRanked) < perDataCentre
}

func outranks(a, b string) bool {
	hashA, hashB := xxhash.Sum64String(a), xxhash.Sum64String(b)
	return hashA > hashB || hashA == hashB && a > b
}
