// Package admin defines the JSON bodies of the administration API, which its
// server and its client share, so that the two cannot drift apart.
package admin

import "camphorwick.dev/api/outcome"

// ErrorBody is the body of a call that was refused or whose result is unknown.
type ErrorBody struct {
	RequestID string          `json:"request_id"`
	Outcome   outcome.Outcome `json:"outcome"`
	Error     ErrorDetail     `json:"error"`
}

// ErrorDetail states why a call was refused, with the conflicting edit, or what
// is known of an edit whose result is unknown.
type ErrorDetail struct {
	outcome.ErrorDetail
	// Conflict is set when another edit has changed an item.
	Conflict *Conflict `json:"conflict,omitempty"`
	// Expired is true if the edit id is no longer kept, so that a retry can
	// never tell the result of the edit.
	Expired bool `json:"expired,omitempty"`
}

// Conflict describes the last change of an item that an edit expected at another
// revision. Revisions are 0 for an item that does not exist; Operator and EditID
// are empty if that change is no longer known.
type Conflict struct {
	Key              string `json:"key"`
	ExpectedRevision uint64 `json:"expected_revision"`
	ActualRevision   uint64 `json:"actual_revision"`
	Operator         string `json:"operator,omitempty"`
	EditID           string `json:"edit_id,omitempty"`
}

// VM is one VM in the answer of GET /admin/v1/fleet.
type VM struct {
	VM             string `json:"vm"`
	Role           string `json:"role"`
	DataCentre     string `json:"data_centre"`
	State          string `json:"state"`
	Mark           string `json:"mark,omitempty"`
	ConfigRevision uint64 `json:"config_revision"`
	// Models and Service are what the backend server of an agent offers.
	Models  []string `json:"models,omitempty"`
	Service string   `json:"service,omitempty"`
	// Running and Queued count requests.
	Running uint32 `json:"running"`
	Queued  uint32 `json:"queued"`
	// PrefillTokens are the prefill tokens queued or running, by length band:
	// short, medium, long.
	PrefillTokens []uint64 `json:"prefill_tokens,omitempty"`
	// KVReserved and KVTokens are the reserved and the total KV-cache memory of
	// the model engine, in tokens.
	KVReserved uint64 `json:"kv_reserved_tokens"`
	KVTokens   uint64 `json:"kv_tokens,omitempty"`
}
