package fleetconf

import "github.com/cespare/xxhash/v2"

// LiveEntry is an entry process that is considered live.
type LiveEntry struct {
	VM, DataCentre string
}

// IsWatcher reports whether vm is one of the perDataCentre entries of its data
// centre with the highest rendezvous weights. live must contain vm itself. While
// entries see different live sets, a data centre may have more or fewer watchers;
// this costs store calls or delay, but never correctness.
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
	ahead := map[string]bool{}
	for _, e := range live {
		if e.DataCentre == dataCentre && outranks(e.VM, vm) {
			ahead[e.VM] = true
		}
	}
	return len(ahead) < perDataCentre
}

func outranks(a, b string) bool {
	weightA, weightB := xxhash.Sum64String(a), xxhash.Sum64String(b)
	return weightA > weightB || weightA == weightB && a > b
}
