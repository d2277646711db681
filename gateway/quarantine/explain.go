package quarantine

import (
	"maps"
	"slices"

	"camphorwick.dev/policy/quarantine"
)

const (
	// maxKnownServers bounds the servers that are known to have crashed on a part.
	maxKnownServers = 4096
	// minUnexplained is the number of crashes that no other part explains from which a
	// verdict stands.
	minUnexplained = 3
)

// addServer records that a server crashed on the part of an entry. Entries that rest on
// crashes on this part alone end. mu is held.
func (l *List) addServer(r *record, server string) {
	if r.servers == nil {
		r.servers = map[string]bool{}
	}
	if len(r.servers) >= maxKnownServers {
		return
	}
	r.servers[server] = true
	for part, other := range l.entries {
		if other != r && other.servers[server] && l.isExplained(part, other.With, other.servers, other.Share) {
			l.lift(part, "its crashes were on another part")
		}
	}
}

// isExplained reports whether all but a few of the servers that crashed on a part crashed
// on other quarantined parts, of whose prompts a larger share crashed their servers. It
// does not hold for parts that were found together (with), of which any may be the cause.
// ownShare is that share for the part if this process has not seen its crashes. mu is held.
func (l *List) isExplained(part string, with []string, servers map[string]bool, ownShare float64) bool {
	share := l.shareOf(part, ownShare)
	unexplained := maps.Clone(servers)
	other := ""
	for _, r := range l.entries {
		if r.Part == part || slices.Contains(with, r.Part) || slices.Contains(r.With, part) || l.shareOf(r.Part, r.Share) <= share {
			continue
		}
		for server := range servers {
			if r.servers[server] {
				delete(unexplained, server)
				other = r.Part
			}
		}
	}
	if other == "" || len(unexplained) >= minUnexplained {
		return false
	}
	l.Log.Info("part not quarantined, its crashes were on another part", "part", part, "other", other, "unexplained", len(unexplained))
	return true
}

// shareOf returns the share of the prompts with a part whose servers crashed lately: as this
// process has seen it, else as given. mu is held.
func (l *List) shareOf(part string, stored float64) float64 {
	if l.tracker.HasRecent(part) {
		return l.tracker.Share(part)
	}
	return stored
}

// serversOf returns the servers of the crashes of a finding.
func serversOf(f quarantine.Finding) map[string]bool {
	servers := map[string]bool{}
	for _, e := range f.Evidence {
		servers[e.Server] = true
	}
	return servers
}
