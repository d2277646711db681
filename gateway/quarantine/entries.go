package quarantine

import "slices"

// set adds or replaces an entry. mu is held.
func (l *List) set(r *record) {
	l.entries[r.Part] = r
	if r.Group {
		l.groups[r.Part] = r
	}
}

// forget drops an entry and the evidence against its parts. mu is held.
func (l *List) forget(r *record) {
	delete(l.entries, r.Part)
	delete(l.groups, r.Part)
	for _, part := range r.members() {
		l.tracker.Forget(part)
	}
}

// covering returns the entries that cover a prompt. mu is held.
func (l *List) covering(parts partSet) []*record {
	if len(l.entries) == 0 {
		return nil
	}
	var out []*record
	for _, part := range parts.list {
		if r := l.entries[part]; r != nil && r.covers(parts) {
			out = append(out, r)
		}
	}
	for _, r := range l.groups {
		if r.covers(parts) {
			out = append(out, r)
		}
	}
	return out
}

// removeFromWith records that parts are not the cause, so that prompts with the others that
// were quarantined together with them are refused. It returns the requests to be ended. mu
// is held.
func (l *List) removeFromWith(parts partSet, own bool) []ending {
	var ended []ending
	for _, r := range l.entries {
		ended = append(ended, l.narrow(r, parts.has, own)...)
	}
	return ended
}

// narrow removes parts that are not the cause from an entry that names them besides others,
// and returns the requests to be ended. mu is held.
func (l *List) narrow(r *record, disproved func(part string) bool, own bool) []ending {
	with := slices.DeleteFunc(slices.Clone(r.With), func(part string) bool { return disproved(part) && r.answered(part) })
	if len(with) == len(r.With) {
		return nil
	}
	r.With = with
	if r.Group && len(with) == 0 {
		l.lift(r.Part, "prompts with all its parts were answered")
		return nil
	}
	l.scheduleWrite(r, own)
	return l.affected(r)
}

// answered records an answer to a prompt with a part of With and reports whether it shows
// that the part is not the cause. For a group because of frequent crashes several are needed.
func (r *record) answered(part string) bool {
	if !r.Group || !r.Frequent {
		return true
	}
	if r.answers == nil {
		r.answers = map[string]int{}
	}
	r.answers[part]++
	return r.answers[part] >= answersToLift
}
