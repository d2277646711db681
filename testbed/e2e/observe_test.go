package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
)

// span is the log line of a span.
type span struct {
	Name     string `json:"span"`
	TraceID  string `json:"trace_id"`
	SpanID   string `json:"span_id"`
	ParentID string `json:"parent_id"`
	VM       string `json:"vm"`
	Request  string `json:"request_id"`
}

// spansOf reads the spans of a trace from the logs of all daemons.
func spansOf(t *testing.T, f *fleet.Fleet, trace string) map[string]span {
	t.Helper()
	spans := map[string]span{}
	for _, d := range append(append([]*fleet.Daemon{}, f.Agents...), f.Entries...) {
		data, err := os.ReadFile(f.LogFile(d.Settings.VM))
		if err != nil {
			t.Fatal(err)
		}
		for line := range bytes.Lines(data) {
			s := span{}
			if err := json.Unmarshal(line, &s); err != nil {
				t.Fatalf("log line of %s is not JSON: %s", d.Settings.VM, line)
			}
			if s.Name != "" && s.TraceID == trace {
				spans[s.Name] = s
			}
		}
	}
	return spans
}

// Guards against spans of a trace that are missing or have the wrong parent, and
// against metrics that are not exported.
func TestTraceAndMetrics(t *testing.T) {
	is := is.New(t)
	ctx, f := start(t, fleet.Options{Entries: 1, Engines: 1})
	a, err := caller(f, 0).Complete(ctx, client.Request{Model: "standin", Prompt: prompt("trace", 500), MaxTokens: 20, Stream: true})
	is.NoErr(err)
	var spans map[string]span
	for deadline := time.Now().Add(5 * time.Second); len(spans) < 4 && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		spans = spansOf(t, f, a.TraceID)
	}
	is.Equal(spans["attempt"].ParentID, spans["entry"].SpanID)
	is.Equal(spans["queue"].ParentID, spans["attempt"].SpanID)
	is.Equal(spans["engine"].ParentID, spans["attempt"].SpanID)
	is.Equal(spans["engine"].VM, "server-1")
	is.Equal(spans["entry"].Request, a.RequestID)
	entry, agent := scrapeMetrics(t, f.Entries[0]), scrapeMetrics(t, f.Agents[0])
	for _, name := range []string{"camphorwick_first_token_seconds_bucket", "camphorwick_inter_token_seconds_bucket",
		"camphorwick_requests_total", "camphorwick_store_calls_total"} {
		is.True(strings.Contains(entry, name))
	}
	for _, name := range []string{"camphorwick_agent_queue_wait_seconds_bucket", "camphorwick_agent_outcomes_total",
		"camphorwick_agent_kv_reserved", "camphorwick_agent_engine_kv_used"} {
		is.True(strings.Contains(agent, name))
	}
}

func scrapeMetrics(t *testing.T, d *fleet.Daemon) string {
	t.Helper()
	response, err := http.Get("http://" + d.Settings.OpsAddress + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// sumOfMetric returns the sum of a counter over all label values that contain label.
func sumOfMetric(t *testing.T, d *fleet.Daemon, name, label string) int {
	t.Helper()
	sum := 0
	for line := range strings.Lines(scrapeMetrics(t, d)) {
		if !strings.HasPrefix(line, name+"{") || !strings.Contains(line, label) {
			continue
		}
		value, err := strconv.Atoi(strings.TrimSpace(line[strings.LastIndex(line, " "):]))
		if err != nil {
			t.Fatalf("value of %q: %v", line, err)
		}
		sum += value
	}
	return sum
}
