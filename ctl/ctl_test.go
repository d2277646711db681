package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func config(revision uint64, items ...Item) *Config { return &Config{Revision: revision, Items: items} }

func item(key, value string, revision uint64) Item {
	return Item{Key: key, Value: []byte(value), Revision: revision}
}

// Guards against malformed list files that are accepted, and against documents
// that are not converted to the form in which entries store them.
func TestParseList(t *testing.T) {
	is := is.New(t)
	list, err := ParseList("f", []byte(`{"list":"plans","items":{"a":{"weight":2,"concurrency":0}}}`))
	is.NoErr(err)
	is.Equal(string(list.Items["a"]), `{"weight":2}`) // canonical form
	for _, text := range []string{``, `{`, `{"list":"marks","items":{}}`, `{"list":"plans"}`, `{"list":"plans","items":{}} x`,
		`{"list":"plans","items":{"a":{"wieght":2}}}`, `{"list":"plans","items":{"a/b":{}}}`, `{"list":"plans","more":1,"items":{}}`} {
		_, err := ParseList("f", []byte(text))
		var input *InputError
		is.True(errors.As(err, &input))
	}
}

// Guards against an apply that overwrites or deletes an item that another operator
// changed after the export.
func TestDiffExpectedRevisions(t *testing.T) {
	is := is.New(t)
	before := config(7, item("plan/a", `{"weight":1}`, 3), item("plan/b", `{"weight":1}`, 4))
	list := Export("plans", before)
	is.Equal(len(list.Diff(before)), 0)
	delete(list.Items, "b")
	list.Items["a"] = []byte(`{"weight":2}`)
	after := config(9, item("plan/a", `{"weight":5}`, 8), item("plan/b", `{"weight":1}`, 4), item("plan/c", `{"weight":1}`, 9))
	diff := list.Diff(after)
	is.Equal(len(diff), 3)
	is.Equal([]uint64{diff[0].ExpectedRevision, diff[1].ExpectedRevision, diff[2].ExpectedRevision}, []uint64{3, 4, 0})
	is.True(diff[1].Value == nil)
	list.Revision = 0 // written by hand: replaces the items in force
	is.Equal(list.Diff(after)[0].ExpectedRevision, uint64(8))
}

// Guards against an edit with other changes that is taken for an earlier
// application of the list.
func TestListMatches(t *testing.T) {
	is := is.New(t)
	list := &List{List: "plans", Items: map[string]json.RawMessage{"a": []byte(`{"weight":2}`)}}
	is.True(list.Matches(&AcceptedEdit{Changes: []Item{item("plan/a", `{"weight":2}`, 1), item("plan/b", `null`, 1)}}))
	is.True(!list.Matches(&AcceptedEdit{Changes: []Item{item("plan/a", `{"weight":3}`, 1)}}))
	is.True(!list.Matches(&AcceptedEdit{Changes: []Item{item("plan/a", `null`, 1)}}))
	is.True(!list.Matches(&AcceptedEdit{Changes: []Item{item("client/a", `null`, 1)}}))
}

// Guards against --set arguments that are not applied as documented: a value that
// is not JSON is a string, an empty value removes the field, and an argument
// without "=" is an error.
func TestSetFields(t *testing.T) {
	is := is.New(t)
	got, err := SetFields([]byte(`{"plan":"a","disabled":true}`), []string{"plan=b", "disabled=", "key_hashes=[]"})
	is.NoErr(err)
	is.Equal(string(got), `{"key_hashes":[],"plan":"b"}`)
	_, err = SetFields(nil, []string{"plan"})
	is.True(err != nil)
}

// Guards against rows of the fleet table in the wrong order and against columns
// that shift because a value is absent.
func TestWriteFleet(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(WriteFleet(&out, &Fleet{Revision: 4, VMs: []VM{
		{VM: "s-2", Role: "agent", DataCentre: "b", State: "draining", Mark: "leaving", ConfigRevision: 4, Models: []string{"m"}, Running: 2, KVReserved: 5, KVTokens: 10},
		{VM: "e-1", Role: "entry", DataCentre: "a", State: "live", ConfigRevision: 4},
		{VM: "s-1", Role: "agent", DataCentre: "a", State: "unreachable"}}}))
	rows := strings.Split(out.String(), "\n")
	is.Equal(strings.Fields(rows[1]), []string{"a", "agent", "s-1", "unreachable", "-", "0", "-", "0", "0", "-"})
	is.Equal(strings.Fields(rows[2]), []string{"a", "entry", "e-1", "live", "-", "4", "-", "-", "-", "-"})
	is.Equal(strings.Fields(rows[3]), []string{"b", "agent", "s-2", "draining", "leaving", "4", "m", "2", "0", "5/10"})
	for _, state := range []string{"live", "suspected", "draining", "unreachable"} {
		is.True(strings.Contains(FleetLegend, state+":"))
	}
}

// Guards against a difference that shows unchanged lines or omits changed ones.
func TestWriteDiff(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	WriteDiff(&out, []Difference{{Change{Key: "plan/a", Value: []byte(`{"weight":2}`)}, item("plan/a", `{"weight":1,"concurrency":3}`, 3)}})
	is.Equal(out.String(), "change plan/a (revision 3 in force)\n  -   \"weight\": 1\n  -   \"concurrency\": 3\n  +   \"weight\": 2\n")
}

// Guards against a refusal that is reported as final while another entry, whose
// response was lost, may still accept the edit.
func TestRefusalAfterLostAnswer(t *testing.T) {
	answers := map[string]string{
		"conflict":     `{"error":{"code":"edit_conflict","conflict":{"key":"plan/a"}}}`,
		"reused id":    `{"error":{"code":"edit_conflict"}}`,
		"store down":   `{"error":{"code":"store_unavailable"}}`,
		"invalid":      `{"error":{"code":"invalid_request"}}`,
		"not an entry": `Bad Gateway`,
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lost := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
			defer lost.Close()
			refuses := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusConflict)
				_, _ = w.Write([]byte(answer))
			}))
			defer refuses.Close()
			client := New(Options{Addresses: []string{lost.URL, refuses.URL}})
			_, err := client.Commit(context.Background(), Edit{ID: "e", Since: 3}, CommitOptions{Timeout: time.Millisecond})
			var doubt *DoubtError
			is.True(errors.As(err, &doubt))
		})
	}
}

// Guards against an edit in doubt that is reported as refused because of a conflict
// while an entry that did not answer may still process it, and against one that
// stays in doubt after that.
func TestFinal(t *testing.T) {
	is := is.New(t)
	r := &commitState{inDoubt: true, lastUnanswered: time.Now()}
	conflict := &APIError{Code: "edit_conflict", Conflict: &Conflict{}}
	is.True(!r.isFinal(conflict))
	r.lastUnanswered = time.Now().Add(-entryEditLimit - time.Second)
	is.True(r.isFinal(conflict))
	is.True(!r.isFinal(&APIError{Code: "edit_conflict"}))
	is.True(!r.isFinal(&APIError{Code: "store_unavailable"}))
	is.True((&commitState{}).isFinal(&APIError{Code: "store_unavailable"}))
}
