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

// Edit is a set of changes that takes effect as a whole.
type Edit struct {
	// ID identifies the edit in repeats; it is needed.
	ID       string `json:"id"`
	Operator string `json:"operator"`
	// Since is the revision that was in force before the first try. The
	// entry is told it only in repeats.
	Since   uint64   `json:"since"`
	Changes []Change `json:"changes"`
}

// Change sets an item, or deletes it if Value is nil.
type Change struct {
	Key              string          `json:"key"`
	Value            json.RawMessage `json:"value"`
	ExpectedRevision uint64          `json:"expected_revision"`
}

// AcceptedEdit is an edit that is part of the configuration.
type AcceptedEdit struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
	Revision uint64 `json:"revision"`
	Changes  []Item `json:"changes"`
}

// Accepted returns an edit that is known to be accepted. A nil edit without an
// error says nothing about it.
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

// CommitOptions change how an edit is committed.
type CommitOptions struct {
	// Repeated says that an earlier process may have sent the edit.
	Repeated bool
	// Limit bounds the time spent on an edit in doubt; 0 means 30 s.
	Limit time.Duration
}

// Commit commits an edit and returns its revision.
//
// An *APIError or a *ConnectionError means that the edit is not in force and
// will not be. A *DoubtError means that it may be.
func (c *Client) Commit(ctx context.Context, edit Edit, o CommitOptions) (uint64, error) {
	r := &resolution{client: c, edit: edit, doubt: o.Repeated}
	if o.Repeated {
		r.unanswered = time.Now()
	}
	if o.Limit == 0 {
		o.Limit = resolveLimit
	}
	deadline := time.Now().Add(o.Limit)
	for {
		revision, done, err := r.round(ctx)
		if done {
			return revision, err
		}
		if !r.doubt {
			return 0, &ConnectionError{Addresses: c.options.Addresses, Cause: r.last}
		}
		if time.Now().After(deadline) || sleep(ctx, repeatInterval) != nil {
			return 0, &DoubtError{Edit: edit, Cause: r.last}
		}
	}
}

// resolution is the state of one Commit.
type resolution struct {
	client *Client
	edit   Edit
	// doubt is set once the edit may have been accepted.
	doubt bool
	// unanswered is the time of the last try that brought no answer. Its
	// entry may go on with the edit for entryEditLimit.
	unanswered time.Time
	last       error
}

// round sends the edit to the entries in turn until one settles it.
func (r *resolution) round(ctx context.Context) (revision uint64, done bool, err error) {
	for _, address := range r.client.options.Addresses {
		revision, err := r.send(ctx, address)
		if err == nil {
			return revision, true, nil
		}
		var refused *APIError
		var lost *lostError
		isRefused, isLost := errors.As(err, &refused), errors.As(err, &lost)
		if !r.doubt || r.last == nil || isRefused || isLost {
			r.last = err // an entry without a connection does not explain a doubt
		}
		switch {
		case isLost:
			r.doubt, r.unanswered = true, time.Now()
		case isRefused && refused.Expired:
			return 0, true, &DoubtError{Edit: r.edit, Expired: true, Cause: err}
		case isRefused && refused.Code == outcome.EditInDoubt:
			r.doubt = true
		case isRefused && r.final(refused):
			return 0, true, err
		}
	}
	return 0, false, nil
}

func (r *resolution) send(ctx context.Context, address string) (uint64, error) {
	edit := r.edit
	if !r.doubt {
		edit.Since = 0
	}
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	err := r.client.once(ctx, editTimeout, address, http.MethodPost, "/admin/v1/edits", edit, &answer)
	return answer.Revision, err
}

// final reports whether a refusal holds for all tries of the edit. While an
// edit is in doubt, only a conflict says that it was not accepted, since it is
// found in the store's current head, and only after the entries that have not
// answered have given up. A conflict without details concerns the edit id: an
// edit with this id, possibly this one, was accepted. A document that this entry calls invalid may have
// been accepted by an entry of a newer version.
func (r *resolution) final(refused *APIError) bool {
	if !r.doubt {
		return true
	}
	other := refused.Code == outcome.EditConflict && refused.Conflict != nil
	return other && time.Since(r.unanswered) > entryEditLimit
}
