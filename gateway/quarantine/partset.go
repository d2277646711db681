package quarantine

import "slices"

// maxListed is the number of parts up to which a search in the list is as fast as in a map.
const maxListed = 16

// partSet is the shared parts of a prompt, in their order.
type partSet struct {
	list []string
	set  map[string]struct{} // nil for a short list
}

func newPartSet(parts []string) partSet {
	s := partSet{list: parts}
	if len(parts) > maxListed {
		s.set = make(map[string]struct{}, len(parts))
		for _, part := range parts {
			s.set[part] = struct{}{}
		}
	}
	return s
}

func (s partSet) has(part string) bool {
	if s.set == nil {
		return slices.Contains(s.list, part)
	}
	_, has := s.set[part]
	return has
}

// maxShown is the number of parts that a log line names.
const maxShown = 8

// shown returns the first of some parts, for a log line.
func shown(parts []string) []string { return parts[:min(len(parts), maxShown)] }
