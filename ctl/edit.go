package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"camphorwick.dev/api/outcome"
)

// Edit is a set of changes that takes effect atomically.
type Edit struct {
	// ID is required. The caller chooses it, unique and the same in each attempt,
	// so that a retry does not take effect twice.
	ID       string `json:"id"`
	Operator string `json:"operator"`
	// Since is the revision that was in force before the first attempt. It is
	// sent only in retries: the entry then looks for the edit among the revisions
	// after Since.
	Since   uint64   `json:"since"`
	Changes []Change `json:"changes"`
}

// Change sets an item, or deletes it if Value is nil.
type Change struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// ExpectedRevision is the revision of the item on which the change is based, 0
	// if the item is absent. The entry refuses the edit if the item has another.
	ExpectedRevision uint64 `json:"expected_revision"`
}

// AcceptedEdit is an edit that was accepted; later edits may have overwritten it.
type AcceptedEdit struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
	Revision uint64 `json:"revision"`
	Changes  []Item `json:"changes"`
}

// Accepted looks for the accepted edit with an id among the revisions after since.
// If both results are nil, it is not known whether the edit was accepted.
func (c *Client) Accepted(ctx context.Context, id string, since uint64) (*AcceptedEdit, error) {
	edit := &AcceptedEdit{}
	err := c.read(ctx, http.MethodGet, fmt.Sprintf("/admin/v1/edits?id=%s&since=%d", url.QueryEscape(id), since), nil, edit)
	var refused *APIError
	if errors.As(err, &refused) && refused.Code == outcome.NotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return edit, nil
}

// CommitOptions say how Commit treats an edit in doubt.
type CommitOptions struct {
	// Retried is set if an earlier run of the command may have sent the edit.
	Retried bool
	// Timeout is the longest time spent on finding whether an edit in doubt was
	// accepted; 0 means 30 s.
	Timeout time.Duration
}

// Commit commits an edit and returns its revision.
//
// An *APIError or a *ConnectionError means that the edit is not in force and
// will not be. A *DoubtError means that it may be.
func (c *Client) Commit(ctx context.Context, edit Edit, o CommitOptions) (uint64, error) {
	r := &commitState{client: c, edit: edit, inDoubt: o.Retried}
	if o.Retried {
		r.lastUnanswered = time.Now()
	}
	if o.Timeout == 0 {
		o.Timeout = resolveLimit
	}
	deadline := time.Now().Add(o.Timeout)
	for {
		revision, done, err := r.tryEntries(ctx)
		if done {
			return revision, err
		}
		if !r.inDoubt {
			return 0, &ConnectionError{Addresses: c.options.Addresses, Cause: r.lastErr}
		}
		if time.Now().After(deadline) || sleep(ctx, retryInterval) != nil {
			return 0, &DoubtError{Edit: edit, Cause: r.lastErr}
		}
	}
}

// commitState is the state of one Commit.
type commitState struct {
	client *Client
	edit   Edit
	// inDoubt is set once the edit may have been accepted.
	inDoubt bool
	// lastUnanswered is the time of the last attempt without a response, or the
	// start of Commit if an earlier run may have sent the edit. The entry of such an
	// attempt may continue to process the edit for entryEditLimit.
	lastUnanswered time.Time
	lastErr        error
}

// tryEntries sends the edit to the entries in turn until its outcome is certain.
// done is false if no entry gave a certain answer; r.lastErr then says why.
func (r *commitState) tryEntries(ctx context.Context) (revision uint64, done bool, err error) {
	for _, address := range r.client.options.Addresses {
		revision, err := r.send(ctx, address)
		if err == nil {
			return revision, true, nil
		}
		var refused *APIError
		var lost *lostResponseError
		isRefused, isLost := errors.As(err, &refused), errors.As(err, &lost)
		// Keeps the error that explains the doubt: once the edit is in doubt, a
		// failed connection to another entry does not replace it.
		if !r.inDoubt || r.lastErr == nil || isRefused || isLost {
			r.lastErr = err
		}
		switch {
		case isLost:
			r.inDoubt, r.lastUnanswered = true, time.Now()
		case isRefused && refused.Expired:
			return 0, true, &DoubtError{Edit: r.edit, Expired: true, Cause: err}
		case isRefused && refused.Code == outcome.EditInDoubt:
			r.inDoubt = true
		case isRefused && r.isFinal(refused):
			return 0, true, err
		}
	}
	return 0, false, nil
}

func (r *commitState) send(ctx context.Context, address string) (uint64, error) {
	edit := r.edit
	if !r.inDoubt {
		edit.Since = 0
	}
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	err := r.client.sendTo(ctx, editTimeout, address, http.MethodPost, "/admin/v1/edits", edit, &answer)
	return answer.Revision, err
}

// isFinal reports whether a refusal holds for all attempts of the edit. If the edit
// is in doubt, a refusal shows that no attempt was accepted only if:
//
//   - its code is that of a conflict, because the entry has then compared the edit
//     with the newest revision in the store. Other codes say less: a value that this
//     entry calls invalid may have been accepted by an entry of a newer version.
//   - the conflict has details, because one without them says that an edit with this
//     id was accepted, which may be this edit.
//   - entryEditLimit has passed since the last attempt without a response, because
//     its entry may process the edit until then.
func (r *commitState) isFinal(refused *APIError) bool {
	if !r.inDoubt {
		return true
	}
	conflictsWithOther := refused.Code == outcome.EditConflict && refused.Conflict != nil
	return conflictsWithOther && time.Since(r.lastUnanswered) > entryEditLimit
}
