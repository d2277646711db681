package quarantine

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// maxEvidence bounds the crashes that are kept of a quarantined part, maxAccounts
	// their accounts. Two accounts are enough to refuse the part to all.
	maxEvidence = 16
	maxAccounts = 2
	// groupNameBytes is the length of the hash in the name of a group.
	groupNameBytes = 16
)

// RefusedError means that a prompt has a quarantined part.
type RefusedError struct {
	Part string
	// RetryAfter is the time until a prompt with the part may be tried again.
	RetryAfter time.Duration
	// Since is when the part was quarantined.
	Since time.Time
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("servers crash on part %q of the prompt, quarantined since %s", e.Part, e.Since.UTC().Format(time.RFC3339))
}

// UnknownError means that the quarantined parts have not been read yet.
type UnknownError struct {
	RetryAfter time.Duration
}

func (e *UnknownError) Error() string { return "the quarantined parts of prompts are not known yet" }

// Crash is a crash that counted against a quarantined part. Request is the ID of the
// caller, followed by "#" and a number that no other request has.
type Crash struct {
	Server  string `json:"server"`
	Request string `json:"request"`
	Account string `json:"account,omitempty"`
}

// Entry is a quarantined part, as it is stored.
type Entry struct {
	// Part is the ID of the part, or for a group a name that no part has.
	Part string `json:"part"`
	// Group is set for an entry of many parts, With, any of which may be the cause.
	Group bool `json:"group,omitempty"`
	// With are other parts that all crashing prompts had besides. Prompts that lack one of
	// them are not refused: an answer to them clears the parts that they have.
	With []string `json:"with,omitempty"`
	// Accounts are the client accounts under whose requests servers crashed, at most
	// maxAccounts. The part is refused to these, so that an account cannot make parts of
	// others be refused; with two or more it is refused to all. With one, a prompt of another
	// account is let through at a time.
	Accounts []string `json:"accounts"`
	// Since is when the part was quarantined, by the clock of Owner.
	Since   time.Time `json:"since"`
	Crashes []Crash   `json:"crashes"`
	// Owner is the VM of the gateway that stored the entry. The first trial is made by the
	// owner of one of the parts to be tried.
	Owner string `json:"owner"`
	// Trials is the number of trials so far; the next one may begin at NextTrial.
	Trials    int       `json:"trials"`
	NextTrial time.Time `json:"next_trial"`
	// Share is the share of the prompts with the part whose servers had crashed lately, as
	// the owner had seen it at the verdict.
	Share float64 `json:"share,omitempty"`
	// Claims is the number of requests that were let through as trials, of which several
	// may belong to one; those that no server has run count twice.
	Claims int `json:"claims,omitempty"`
	// Probes is how many of these were prompts of an account without crashes.
	Probes int `json:"probes,omitempty"`
	// Frequent is set if prompts with the part were answered between the crashes. Several
	// answers are needed to end the quarantine then; Passed is how many there were since
	// the last crash.
	Frequent bool `json:"frequent,omitempty"`
	Passed   int  `json:"passed,omitempty"`
}

// covers reports whether a prompt with the given parts is like those on which servers
// crashed.
func (e *Entry) covers(parts partSet) bool {
	isMissing := func(part string) bool { return !parts.has(part) }
	return (e.Group && len(e.With) > 0 || parts.has(e.Part)) && !slices.ContainsFunc(e.With, isMissing)
}

// members returns the parts any of which may be the cause, for a group all of them.
func (e *Entry) members() []string {
	if e.Group {
		return e.With
	}
	return []string{e.Part}
}

// groupName returns the name of a group of parts, the same for each order of them.
func groupName(parts []string) string {
	sorted := slices.Sorted(slices.Values(parts))
	hash := sha256.Sum256([]byte(strings.Join(sorted, ",")))
	return fmt.Sprintf("group-%x", hash[:groupNameBytes])
}

// refusesAccount reports whether prompts of an account are refused.
func (e *Entry) refusesAccount(account string) bool {
	return len(e.Accounts) >= maxAccounts || slices.Contains(e.Accounts, account)
}

// refuses reports whether a prompt of an account with the given parts is refused.
func (e *Entry) refuses(account string, parts partSet) bool {
	return e.refusesAccount(account) && e.covers(parts)
}

// addCrash adds a crash to the evidence and reports whether it changes who is refused.
func (e *Entry) addCrash(c Crash) bool {
	if len(e.Crashes) < maxEvidence && !slices.Contains(e.Crashes, c) {
		e.Crashes = append(e.Crashes, c)
	}
	if e.refusesAccount(c.Account) {
		return false
	}
	e.Accounts = append(e.Accounts, c.Account)
	return true
}
