package node

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"camphorwick.dev/gateway/schedule"
	"camphorwick.dev/policy/selfreport"
)

// logReport writes the log line of a change that a server has reported of itself, and
// tells the peers of a server that leaves. It must not block.
func (n *Node) logReport(service string, c selfreport.Change, peer string) {
	log := n.options.Log.With("service", service, "server", c.Server.ID, "address", c.Server.Address)
	switch c.Event {
	case selfreport.Leaves:
		log.Info("server reports that it leaves, it gets no more requests")
		n.peers.SendSoon()
	case selfreport.LeavingHint:
		log.Info("server avoided, a peer reports that it leaves", "peer", peer, "age_ms", c.Age.Milliseconds())
	case selfreport.Pauses:
		log.Info("server wants no requests", "until", c.Until, "for_ms", time.Until(c.Until).Milliseconds())
	case selfreport.Resumes:
		log.Info("server gets requests again after a pause", "age_ms", c.Age.Milliseconds())
	}
}

// shownReport is what a server has reported of itself, as operators see it.
type shownReport struct {
	Server  string `json:"server"`
	Address string `json:"address"`
	// State is "leaving", "leaving_hint", "paused", "resuming" or "loaded".
	State string `json:"state"`
	// PausedForSeconds is the rest of a pause, MaxInFlight the limit after it.
	PausedForSeconds float64 `json:"paused_for_s,omitempty"`
	MaxInFlight      int     `json:"max_in_flight,omitempty"`
	// UnknownRequests is the number of requests that the server has beside those that the
	// gateways know of.
	UnknownRequests float64 `json:"unknown_requests,omitempty"`
	// AgeSeconds is the time since the last report.
	AgeSeconds float64 `json:"age_s"`
}

func showReport(r schedule.ServerReport) shownReport {
	shown := shownReport{Server: r.Server.ID, Address: r.Server.Address, State: "loaded", MaxInFlight: r.State.MaxInFlight,
		UnknownRequests: r.State.UnknownRequests, AgeSeconds: r.Age.Seconds()}
	switch {
	case r.State.Leaving:
		shown.State = "leaving"
	case r.State.Paused:
		shown.State, shown.PausedForSeconds = "paused", time.Until(r.State.PausedUntil).Seconds()
	case r.State.LeavingHint:
		shown.State = "leaving_hint"
	case r.State.MaxInFlight > 0:
		shown.State = "resuming"
	}
	return shown
}

// showReports serves the reports as a JSON array, sorted by server.
func (n *Node) showReports(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", "GET")
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	shown := []shownReport{}
	for _, report := range n.schedule.ServerReports() {
		shown = append(shown, showReport(report))
	}
	slices.SortFunc(shown, func(a, b shownReport) int { return strings.Compare(a.Server, b.Server) })
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(shown); err != nil {
		n.options.Log.Debug("reports of servers not shown", "error", err.Error())
	}
}
