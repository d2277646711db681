package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"camphorwick.dev/api/admin"
	"camphorwick.dev/api/outcome"
	"camphorwick.dev/api/wire"
	"camphorwick.dev/cloud"
	"camphorwick.dev/fleetconf"
)

// editTimeout bounds the time to commit one edit.
const editTimeout = 10 * time.Second

// stoppedAfter is the time without reports, 3 heartbeats, after which a process
// that is marked as stopping counts as stopped.
const stoppedAfter = 3 * time.Second

// adminItem is one item of the configuration in the administration API.
type adminItem struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"revision"`
}

// adminEdit is the body of POST /admin/v1/edits.
type adminEdit struct {
	// ID makes a retry of the edit safe; one is generated if it is empty.
	ID       string `json:"id"`
	Operator string `json:"operator"`
	// Since is the revision at the first attempt of a retried edit.
	Since   uint64        `json:"since"`
	Changes []adminChange `json:"changes"`
}

// adminChange sets an item, or deletes it if the value is null.
type adminChange struct {
	Key              string          `json:"key"`
	Value            json.RawMessage `json:"value"`
	ExpectedRevision uint64          `json:"expected_revision"`
}

// adminServer returns the server of the administration API.
func (e *Entry) adminServer(ctx context.Context) *fasthttp.Server {
	return e.newServer("admin", maxAdminBody, func(c *fasthttp.RequestCtx) {
		id := uuid.NewString()
		c.Response.Header.Set(headerRequestID, id)
		if err := e.authenticateOperator(c); err != nil {
			writeError(c, id, outcome.NotRun, err)
			return
		}
		body := bodyRoom{holder: holderOf(c)}
		defer body.release()
		if err := body.read(c, maxAdminBody); err != nil {
			writeError(c, id, outcome.NotRun, err)
			return
		}
		if err := e.handleAdmin(ctx, c); err != nil {
			result := outcome.NotRun
			if outcome.CodeOf(err) == outcome.EditInDoubt {
				result = outcome.Unknown
			}
			writeAdminError(c, id, result, err)
		}
	})
}

// writeAdminError is writeError with the details of a conflict.
func writeAdminError(c *fasthttp.RequestCtx, id string, result outcome.Outcome, err error) {
	writeError(c, id, result, err)
	detail := admin.ErrorDetail{ErrorDetail: outcome.DetailOf(err)}
	var conflict *fleetconf.ConflictError
	if errors.As(err, &conflict) {
		detail.Conflict = &admin.Conflict{Key: conflict.Item, ExpectedRevision: conflict.Expected, ActualRevision: conflict.Actual,
			Operator: conflict.Operator, EditID: conflict.EditID}
	}
	var expired *fleetconf.ExpiredEditError
	detail.Expired = errors.As(err, &expired)
	writeJSON(c, c.Response.StatusCode(), admin.ErrorBody{RequestID: id, Outcome: result, Error: detail})
}

// authenticateOperator checks the administration key. It compares hashes in
// constant time.
func (e *Entry) authenticateOperator(c *fasthttp.RequestCtx) error {
	key, _ := strings.CutPrefix(string(c.Request.Header.Peek("Authorization")), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	hash := []byte(hex.EncodeToString(sum[:]))
	for _, known := range e.settings.Entry.AdminKeyHashes {
		if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(known))) == 1 {
			return nil
		}
	}
	return outcome.New(outcome.Unauthenticated, "the administration key is missing or unknown")
}

// handleAdmin routes one request of an operator.
func (e *Entry) handleAdmin(ctx context.Context, c *fasthttp.RequestCtx) error {
	switch route := string(c.Method()) + " " + string(c.Path()); route {
	case "GET /admin/v1/config":
		return e.adminConfig(c)
	case "GET /admin/v1/edits":
		return e.adminAcceptedEdit(c)
	case "POST /admin/v1/edits":
		return e.adminCommit(ctx, c)
	case "POST /admin/v1/validate":
		return e.adminValidate(c)
	case "GET /admin/v1/confirmations":
		return e.adminConfirmations(c)
	case "GET /admin/v1/fleet":
		return e.adminFleet(c)
	default:
		return outcome.New(outcome.NotFound, "%s does not exist", route)
	}
}

// adminConfig lists the items with a key prefix.
func (e *Entry) adminConfig(c *fasthttp.RequestCtx) error {
	config := e.member.Replica.Config()
	items := []adminItem{}
	for _, item := range config.Items(string(c.QueryArgs().Peek("prefix"))) {
		items = append(items, adminItem{item.Key, item.Value, item.Revision})
	}
	writeJSON(c, http.StatusOK, map[string]any{"revision": config.Revision(), "items": items})
	return nil
}

// parseEdit decodes an edit and refuses unknown fields.
func parseEdit(c *fasthttp.RequestCtx) (*wire.Edit, error) {
	body := adminEdit{}
	decoder := json.NewDecoder(bytes.NewReader(c.PostBody()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return nil, outcome.Wrap(err, outcome.InvalidRequest, "the body is not a valid edit")
	}
	if body.Operator == "" || len(body.Changes) == 0 {
		return nil, outcome.New(outcome.InvalidRequest, "\"operator\" and \"changes\" are needed")
	}
	if body.ID == "" {
		body.ID = uuid.NewString()
	}
	edit := &wire.Edit{Id: body.ID, Operator: body.Operator, Revision: body.Since, UnixMs: time.Now().UnixMilli()}
	for _, change := range body.Changes {
		value := []byte(change.Value)
		if string(value) == "null" {
			value = nil
		}
		edit.Changes = append(edit.Changes, &wire.ItemChange{Key: change.Key, Value: value, ExpectedRevision: change.ExpectedRevision})
	}
	return edit, nil
}

// adminCommit commits an edit.
func (e *Entry) adminCommit(ctx context.Context, c *fasthttp.RequestCtx) error {
	edit, err := parseEdit(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	revision, err := e.editor.Commit(ctx, edit)
	if err != nil {
		message := "edit refused"
		if outcome.CodeOf(err) == outcome.EditInDoubt {
			message = "edit in doubt, it may be in force"
		}
		e.log.Warn(message, "edit_id", edit.Id, "operator", edit.Operator, "error", err.Error())
		return err
	}
	e.member.RecordStoreContact()
	e.log.Info("edit accepted", "edit_id", edit.Id, "operator", edit.Operator, "revision", revision)
	writeJSON(c, http.StatusOK, map[string]any{"id": edit.Id, "revision": revision})
	return nil
}

// adminAcceptedEdit looks up an accepted edit by its id in the edit history of
// this entry. not_found does not mean that the edit was refused: it may be newer
// or older than the history.
func (e *Entry) adminAcceptedEdit(c *fasthttp.RequestCtx) error {
	args := c.QueryArgs()
	since, err := strconv.ParseUint(string(args.Peek("since")), 10, 64)
	if err != nil {
		return outcome.Wrap(err, outcome.InvalidRequest, "\"since\" is not a number")
	}
	id := string(args.Peek("id"))
	for _, edit := range e.member.Replica.UpdateSince(since, math.MaxInt).GetEdits() {
		if edit.Id == id {
			writeJSON(c, http.StatusOK, acceptedEdit(edit))
			return nil
		}
	}
	return outcome.New(outcome.NotFound, "edit %q is not among the edits since revision %d", id, since)
}

// acceptedEdit returns an edit in the form of the administration API.
func acceptedEdit(edit *wire.Edit) map[string]any {
	changes := []adminItem{}
	for _, change := range edit.Changes {
		value := json.RawMessage(change.Value)
		if len(value) == 0 {
			value = json.RawMessage("null")
		}
		changes = append(changes, adminItem{change.Key, value, edit.Revision})
	}
	return map[string]any{"id": edit.Id, "operator": edit.Operator, "revision": edit.Revision, "changes": changes}
}

// adminValidate checks the items of an edit one by one without committing it.
func (e *Entry) adminValidate(c *fasthttp.RequestCtx) error {
	edit, err := parseEdit(c)
	if err != nil {
		return err
	}
	for _, change := range edit.Changes {
		if len(change.Value) == 0 {
			continue
		}
		if _, err := fleetconf.ParseItem(change.Key, change.Value); err != nil {
			return outcome.Wrap(err, outcome.InvalidRequest, "item %q is not valid", change.Key)
		}
	}
	writeJSON(c, http.StatusOK, map[string]any{"valid": true})
	return nil
}

// unconfirmed is a process at which a revision is not known to be in force.
type unconfirmed struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre,omitempty"`
	Revision   uint64 `json:"revision"`
	AgeMS      uint32 `json:"age_ms"`
}

// adminConfirmations lists the processes at which a revision is not known to be
// in force.
func (e *Entry) adminConfirmations(c *fasthttp.RequestCtx) error {
	revision, err := strconv.ParseUint(string(c.QueryArgs().Peek("revision")), 10, 64)
	if err != nil {
		return outcome.Wrap(err, outcome.InvalidRequest, "\"revision\" is not a number")
	}
	status := e.member.Tracker.InForce(time.Now(), revision, e.expectedVMs()...)
	missing, stopped := []unconfirmed{}, []unconfirmed{}
	connected := e.connectedVMs()
	for _, m := range status.Missing {
		line := unconfirmed{m.Vm, m.DataCentre, m.ConfigRevision, m.AgeMs}
		if !connected[m.Vm] && e.stoppedAsMarked(m) {
			stopped = append(stopped, line)
			continue
		}
		missing = append(missing, line)
	}
	writeJSON(c, http.StatusOK, map[string]any{"revision": status.Revision, "confirmed": status.Confirmed,
		"total": status.Total - len(stopped), "missing": missing, "stopped": stopped})
	return nil
}

// stoppedAsMarked reports whether an agent is marked as stopping and no entry
// has had a report from it for stoppedAfter. An idle agent may exit before it
// can confirm the mark. It does not count as unconfirmed, because an agent
// without a connection to any entry gets no work. An entry still counts, since
// callers may reach it.
func (e *Entry) stoppedAsMarked(m *wire.Confirmation) bool {
	mark, _ := e.member.Replica.Config().Mark(m.Vm)
	sinceReport := time.Duration(m.AgeMs) * time.Millisecond
	return mark == fleetconf.Stopping && m.Role == wire.Role_ROLE_AGENT && sinceReport > stoppedAfter
}

// connectedVMs returns the VMs that this entry has a session with.
func (e *Entry) connectedVMs() map[string]bool {
	connected := map[string]bool{}
	for _, p := range e.member.Node.Peers() {
		connected[p.Hello.Vm] = p.Connected
	}
	return connected
}

// expectedVMs returns the VMs that the platform lists as live.
func (e *Entry) expectedVMs() []string {
	var names []string
	for _, vm := range e.member.ListedVMs() {
		if vm.State == cloud.VMLive {
			names = append(names, vm.ID)
		}
	}
	return names
}

// adminFleet lists the fleet as this entry sees it.
func (e *Entry) adminFleet(c *fasthttp.RequestCtx) error {
	config := e.member.Replica.Config()
	rows := map[string]*admin.VM{}
	for _, vm := range e.member.ListedVMs() {
		rows[vm.ID] = &admin.VM{VM: vm.ID, Role: vm.Role, DataCentre: vm.DataCentre, State: "unreachable"}
	}
	rows[e.settings.VM] = &admin.VM{VM: e.settings.VM, Role: string(e.settings.Role), DataCentre: e.settings.DataCentre,
		State: "live", ConfigRevision: config.Revision()}
	for _, p := range e.member.Node.Peers() {
		row := rows[p.Hello.Vm]
		if row == nil {
			row = &admin.VM{VM: p.Hello.Vm, Role: roleNames[p.Hello.Role], DataCentre: p.Hello.DataCentre, State: "unreachable"}
			rows[row.VM] = row
		}
		if p.Connected {
			row.State = "live"
		}
		if p.Suspected {
			row.State = "suspected"
		}
	}
	e.fillLoads(rows)
	for _, m := range e.member.Tracker.Confirmations(time.Now()) {
		if row := rows[m.Vm]; row != nil {
			row.ConfigRevision = m.ConfigRevision
		}
	}
	list := make([]*admin.VM, 0, len(rows))
	for _, row := range rows {
		if mark, ok := config.Mark(row.VM); ok {
			row.Mark = string(mark)
		}
		list = append(list, row)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	writeJSON(c, http.StatusOK, map[string]any{"revision": config.Revision(), "vms": list})
	return nil
}

var roleNames = map[wire.Role]string{wire.Role_ROLE_ENTRY: "entry", wire.Role_ROLE_AGENT: "agent"}

// fillLoads adds the reported loads to the fleet table.
func (e *Entry) fillLoads(rows map[string]*admin.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for vm, state := range e.agents {
		row := rows[vm]
		if row == nil {
			continue
		}
		if info := state.hello.Backend; info != nil {
			row.Models, row.Service, row.KVTokens = state.models(), info.Service, info.KvTokens
		}
		if load := state.load; load != nil {
			row.Running, row.Queued, row.KVReserved, row.PrefillTokens = load.Running, load.Queued, load.KvReservedTokens, load.PrefillTokens
			// The last load report of a stopped process says nothing about its state.
			switch {
			case row.State != "live":
			case load.BackendDown:
				row.State = "backend down"
			case load.Draining:
				row.State = "draining"
			}
		}
	}
}
