package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// gatewayTimeout bounds a call to a gateway, which answers from its memory.
	gatewayTimeout = 3 * time.Second
	// maxGatewayAnswer bounds the answer of a gateway, in bytes.
	maxGatewayAnswer = 8 << 20
)

// Gateway is the health and metrics address of a gateway, IP:port or URL.
type Gateway string

// ServerReport is what a backend server has reported of itself to a gateway.
type ServerReport struct {
	Gateway          string  `json:"gateway"`
	Server           string  `json:"server"`
	Address          string  `json:"address"`
	State            string  `json:"state"`
	PausedForSeconds float64 `json:"paused_for_s,omitempty"`
	MaxInFlight      int     `json:"max_in_flight,omitempty"`
	UnknownRequests  float64 `json:"unknown_requests,omitempty"`
	AgeSeconds       float64 `json:"age_s"`
}

// QuarantinedPart is a part of prompts that a gateway refuses.
type QuarantinedPart struct {
	Gateway    string          `json:"gateway"`
	Part       string          `json:"part"`
	With       []string        `json:"with,omitempty"`
	Accounts   []string        `json:"accounts"`
	Owner      string          `json:"owner"`
	Trials     int             `json:"trials"`
	NextTrial  time.Time       `json:"next_trial"`
	AgeSeconds float64         `json:"age_s"`
	Stored     bool            `json:"stored"`
	Crashes    json.RawMessage `json:"crashes"`
}

// ServerReports returns what servers have reported of themselves to a gateway.
func (g Gateway) ServerReports(ctx context.Context) ([]ServerReport, error) {
	var out []ServerReport
	err := g.get(ctx, "/servers", &out)
	for i := range out {
		out[i].Gateway = string(g)
	}
	return out, err
}

// Quarantine returns the parts of prompts that a gateway refuses.
func (g Gateway) Quarantine(ctx context.Context) ([]QuarantinedPart, error) {
	var out []QuarantinedPart
	err := g.get(ctx, "/quarantine", &out)
	for i := range out {
		out[i].Gateway = string(g)
	}
	return out, err
}

// errNotQuarantined is returned for a part that is not refused.
var errNotQuarantined = errors.New("the part is not quarantined")

// Lift ends the quarantine of a part on all gateways.
func (g Gateway) Lift(ctx context.Context, part string) error {
	status, _, err := g.call(ctx, http.MethodDelete, "/quarantine?part="+url.QueryEscape(part))
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return &InputError{Source: part, Cause: errNotQuarantined}
	case status != http.StatusNoContent:
		return fmt.Errorf("lift %q at gateway %s: unexpected status %d", part, g, status)
	}
	return nil
}

func (g Gateway) get(ctx context.Context, path string, out any) error {
	status, body, err := g.call(ctx, http.MethodGet, path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("read %s of gateway %s: unexpected status %d", path, g, status)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("read %s of gateway %s: %w", path, g, err)
	}
	return nil
}

func (g Gateway) call(ctx context.Context, method, path string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
	defer cancel()
	base := string(g)
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	request, err := http.NewRequestWithContext(ctx, method, base+path, nil)
	if err != nil {
		return 0, nil, &InputError{Source: base, Cause: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, &ConnectionError{Addresses: []string{string(g)}, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxGatewayAnswer))
	if err != nil {
		return 0, nil, &ConnectionError{Addresses: []string{string(g)}, Cause: err}
	}
	return response.StatusCode, body, nil
}

// WriteServerReports writes reports of servers as a table.
func WriteServerReports(w io.Writer, reports []ServerReport) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "GATEWAY\tSERVER\tADDRESS\tSTATE\tPAUSED FOR\tMAX IN FLIGHT\tUNKNOWN REQUESTS\tAGE")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.1fs\t%d\t%.1f\t%.1fs\n", r.Gateway, r.Server, r.Address, r.State, r.PausedForSeconds, r.MaxInFlight, r.UnknownRequests, r.AgeSeconds)
	}
	return t.Flush()
}

// WriteQuarantine writes quarantined parts as a table.
func WriteQuarantine(w io.Writer, parts []QuarantinedPart) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "GATEWAY\tPART\tWITH\tACCOUNTS\tTRIALS\tNEXT TRIAL\tOWNER\tAGE")
	for _, p := range parts {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%.0fs\n", p.Gateway, p.Part, strings.Join(p.With, ","), strings.Join(p.Accounts, ","), p.Trials,
			p.NextTrial.UTC().Format(time.RFC3339), p.Owner, p.AgeSeconds)
	}
	return t.Flush()
}
