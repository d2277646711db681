package platformsim

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"camphorwick.dev/standin/faults"
)

// HandleFaults serves the faults address: the fault plan, held writes, copies
// of the store, the list of VMs and the counts.
func (p *Platform) HandleFaults(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /stats":
		writeJSON(ctx, p.Stats())
	case "GET /faults":
		writeJSON(ctx, p.faults.Plan())
	case "PUT /faults":
		var plan faults.Plan
		if decodeBody(ctx, &plan) {
			p.setFaults(ctx, plan)
		}
	case "DELETE /faults":
		p.setFaults(ctx, faults.Plan{})
	case "POST /faults/release":
		writeJSON(ctx, map[string]int{"released": p.store.release()})
	case "POST /faults/copy":
		writeJSON(ctx, map[string]int{"keys": p.store.saveCopy()})
	case "POST /faults/restore":
		writeJSON(ctx, map[string]int{"keys": p.store.restore()})
	case "PUT /vms":
		p.setVMs(ctx)
	default:
		writeRefusal(ctx, fasthttp.StatusNotFound, refusal{Code: "invalid_request", Message: "unknown method or path"})
	}
}

func (p *Platform) setFaults(ctx *fasthttp.RequestCtx, plan faults.Plan) {
	if err := p.faults.Set(plan, supportedFaults...); err != nil {
		writeRefusal(ctx, fasthttp.StatusBadRequest, refusal{Code: "invalid_request", Message: err.Error()})
		return
	}
	p.store.wakeWatches()
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (p *Platform) setVMs(ctx *fasthttp.RequestCtx) {
	var body struct {
		VMs       []VM `json:"vms"`
		Immediate bool `json:"immediate"`
	}
	if !decodeBody(ctx, &body) {
		return
	}
	for _, vm := range body.VMs {
		if vm.ID == "" || vm.State != "live" && vm.State != "leaving" {
			writeRefusal(ctx, fasthttp.StatusBadRequest, refusal{Code: "invalid_request", Message: "a VM needs an id and state live or leaving"})
			return
		}
	}
	p.vms.set(body.VMs, body.Immediate)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func decodeBody(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		writeRefusal(ctx, fasthttp.StatusBadRequest, refusal{Code: "invalid_request", Message: err.Error()})
		return false
	}
	return true
}
