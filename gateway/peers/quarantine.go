package peers

import (
	"time"

	"camphorwick.dev/api/wire"
	"camphorwick.dev/gateway/quarantine"
	policy "camphorwick.dev/policy/quarantine"
)

// maxReportBytes bounds the reports in one datagram by the bytes of their strings. The parts
// of the longest prompt, of which a datagram has one at most, are 30 KB when they are packed.
const maxReportBytes = 24_000

// addReports adds what there is to tell about parts of prompts to a datagram. It reports
// whether it added anything.
func (e *Exchange) addReports(out *wire.PeerLoads, complete bool) bool {
	if e.Quarantine == nil {
		return false
	}
	reports := e.Quarantine.Reports(complete, maxReportBytes)
	now := time.Now()
	for _, c := range reports.Crashes {
		out.Crashes = append(out.Crashes, encodeCrash(c, now))
	}
	for _, c := range reports.Cleared {
		out.Cleared = append(out.Cleared, &wire.ClearedPart{Part: c.Part, AgoMs: ageMillis(now, c.At), Answers: c.Answers, Lifted: c.Lifted})
	}
	return !reports.Empty()
}

func encodeCrash(c policy.Crash, now time.Time) *wire.ServerCrash {
	out := &wire.ServerCrash{Server: c.Server, Request: c.Request, Account: c.Account,
		SentAgoMs: ageMillis(now, c.Sent), EndedAgoMs: ageMillis(now, c.Ended)}
	if len(c.Parts) >= minPackedParts {
		if packed, ok := packParts(c.Parts); ok {
			out.PackedParts = packed
			return out
		}
	}
	out.Parts = c.Parts
	return out
}

// maxPartBytes bounds the parts of one reported crash. The head of a request has fewer.
const maxPartBytes = 64 << 10

func partBytes(parts []string) int {
	n := 0
	for _, part := range parts {
		n += len(part)
	}
	return n
}

func ageMillis(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }

// handleReports passes the reports of a peer to the list of quarantined parts.
func (e *Exchange) handleReports(m *wire.PeerLoads) {
	if e.Quarantine == nil || len(m.GetCrashes())+len(m.GetCleared()) == 0 {
		return
	}
	now := time.Now()
	ago := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	reports := quarantine.Reports{Process: m.GetProcess()}
	for _, c := range m.GetCrashes() {
		parts := c.GetParts()
		if len(c.GetPackedParts()) > 0 {
			parts = unpackParts(c.GetPackedParts())
		}
		if partBytes(parts) > maxPartBytes {
			e.Log.Debug("reported crash ignored, its parts are longer than those of a prompt", "server", c.GetServer(), "parts", len(parts))
			continue
		}
		reports.Crashes = append(reports.Crashes, policy.Crash{Server: c.GetServer(), Request: c.GetRequest(), Account: c.GetAccount(),
			Parts: parts, Sent: ago(c.GetSentAgoMs()), Ended: ago(c.GetEndedAgoMs())})
	}
	for _, c := range m.GetCleared() {
		reports.Cleared = append(reports.Cleared, quarantine.Cleared{Part: c.GetPart(), At: ago(c.GetAgoMs()), Answers: c.GetAnswers(), Lifted: c.GetLifted()})
	}
	e.Quarantine.Handle(reports)
}
