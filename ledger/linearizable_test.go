package ledger

import (
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"camphorwick.dev/api/wire"
)

// Guards against claims and lookups of several processes whose results contradict
// each other, so that no sequence of the operations explains them all. Each key is
// modelled as a register that holds the attempt with the right to send.
func TestHistoryIsLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		waits := []time.Duration{0, 0, time.Millisecond, 100 * time.Millisecond, 2 * time.Second, 10 * time.Second}
		r := runScenario(t, drawScenario(rt, waits), newLedgerAdapter)
		if result := porcupine.CheckOperationsTimeout(registerModel, r.history, 10*time.Second); result != porcupine.Ok {
			rt.Fatalf("history of %d operations: %v: %+v", len(r.history), result, r.history)
		}
	})
}

type inputKind int

const (
	inputClaim inputKind = iota
	inputLookup
	inputDone
	inputAbandon
)

type input struct {
	kind    inputKind
	key     int
	attempt string
}

type output struct {
	// won: the claim was granted. inProgress: the process works on the key already.
	// notRun: the claim failed, so the attempt will never be sent.
	won, inProgress, notRun bool
	holder                  string // attempt in the record; "" if there is none
	status                  wire.OrderStatus
}

func recordOutput(record *wire.OrderRecord) output {
	attempt, _, _ := strings.Cut(record.GetAttemptId(), "/")
	return output{holder: attempt, status: record.GetStatus()}
}

// register is the state of one key: the attempt that holds it and the status of
// its record. A key can be claimed in the states unspecified and abandoned. An
// abandoned record may still be reported as claimed, which callers treat as an
// unknown outcome.
type register struct {
	holder string
	status wire.OrderStatus
}

func (s register) claimable() bool { return s.status != claimed && s.status != done }

func (s register) matches(out output) bool {
	if s.holder != out.holder {
		return false
	}
	return out.status == s.status || out.status == claimed
}

func (s register) step(in input, out output) []register {
	switch {
	case in.kind == inputDone && s == register{in.attempt, claimed}:
		return []register{{in.attempt, done}}
	case in.kind == inputAbandon && s == register{in.attempt, claimed}:
		return []register{{in.attempt, abandoned}}
	case in.kind == inputDone || in.kind == inputAbandon:
		return nil
	case out.won && s.claimable():
		return []register{{in.attempt, claimed}}
	case out.won:
		return nil
	case out.notRun && s.claimable():
		return []register{s, {in.attempt, abandoned}} // without or with a record in the store
	case out.notRun || out.inProgress || s.matches(out):
		return []register{s}
	}
	return nil
}

var registerModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, orderKeys)
		for _, op := range history {
			key := op.Input.(input).key
			parts[key] = append(parts[key], op)
		}
		return parts
	},
	Init: func() []any { return []any{register{}} },
	Step: func(state, in, out any) []any {
		var next []any
		for _, s := range state.(register).step(in.(input), out.(output)) {
			next = append(next, s)
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()
