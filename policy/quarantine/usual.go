package quarantine

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// usualLife is the time constant with which an answer loses weight in usualAnswers.
	usualLife = 10 * time.Second
	// maxUsualParts bounds the parts in usualAnswers. Beyond it those with the lowest weight
	// go, and then count as never answered.
	maxUsualParts = 16384
	// minUsualCount is the weight of answers below which a part is dropped.
	minUsualCount = 0.05
)

// usualAnswers counts the answers of this process to prompts with each part, also of parts
// without crashes, by which a part that most prompts have is told from one that is new.
type usualAnswers map[string]usualCount

type usualCount struct {
	weight float64
	at     time.Time
}

func (c usualCount) decayed(at time.Time) float64 {
	return c.weight * math.Exp(-float64(max(at.Sub(c.at), 0))/float64(usualLife))
}

func (u usualAnswers) add(part string, at time.Time) {
	c, known := u[part]
	if !known {
		if len(u) >= maxUsualParts {
			u.dropLowest(at)
		}
		part = strings.Clone(part) // it may be a piece of a long header
	}
	u[part] = usualCount{c.decayed(at) + 1, at}
}

// dropLowest drops the quarter of the parts with the lowest weights, so that a part that
// many prompts have stays among any number of parts that few have.
func (u usualAnswers) dropLowest(at time.Time) {
	weights := make([]float64, 0, len(u))
	for _, c := range u {
		weights = append(weights, c.decayed(at))
	}
	slices.Sort(weights)
	limit := weights[len(weights)/4]
	drop := len(weights)/4 + 1
	for part, c := range u {
		if drop > 0 && c.decayed(at) <= limit {
			delete(u, part)
			drop--
		}
	}
}

// count returns the weight of the answers until a time.
func (u usualAnswers) count(part string, at time.Time) float64 { return u[part].decayed(at) }

func (u usualAnswers) expire(now time.Time) {
	for part, c := range u {
		if c.decayed(now) < minUsualCount {
			delete(u, part)
		}
	}
}

// CountAnswer records that this process has answered a prompt with a part.
func (t *Tracker) CountAnswer(part string, at time.Time) { t.usual.add(part, at) }
