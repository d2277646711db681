package quarantine

import "container/list"

// rankClasses is the number of ranks that ranking distinguishes; higher ones count as the
// last.
const rankClasses = 8

// ranking keeps an order in which parts are dropped when there are too many: those with the
// lowest rank first, of these the one whose rank was set first.
type ranking struct {
	classes  [rankClasses]list.List // of the parts by rank, oldest first
	elements map[string]rankedPart
}

type rankedPart struct {
	class   int
	element *list.Element
}

func newRanking() *ranking { return &ranking{elements: map[string]rankedPart{}} }

// set sets the rank of a part, which is 1 or more.
func (r *ranking) set(part string, rank int) {
	class := min(rank, rankClasses) - 1
	old, known := r.elements[part]
	switch {
	case known && old.class == class:
		r.classes[class].MoveToBack(old.element)
		return
	case known:
		r.classes[old.class].Remove(old.element)
	}
	r.elements[part] = rankedPart{class, r.classes[class].PushBack(part)}
}

// remove forgets a part.
func (r *ranking) remove(part string) {
	if p, known := r.elements[part]; known {
		r.classes[p.class].Remove(p.element)
		delete(r.elements, part)
	}
}

// lowest returns the part to be dropped next; empty if there is none.
func (r *ranking) lowest() string {
	for i := range r.classes {
		if front := r.classes[i].Front(); front != nil {
			return front.Value.(string)
		}
	}
	return ""
}
