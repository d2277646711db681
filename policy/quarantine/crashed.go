package quarantine

import (
	"strings"
	"time"
)

// maxCrashParts bounds the parts that are kept of all crashed servers. The servers that
// crashed first are forgotten.
const maxCrashParts = 1 << 16

// crashedServers holds the parts of the prompts on servers that crashed lately.
type crashedServers struct {
	parts map[string]*serverParts // by server
	total int                     // parts of all servers
}

type serverParts struct {
	parts map[string]struct{}
	at    time.Time // end of the first crash that was recorded
}

// add records the parts of a prompt on a server that has crashed.
func (s *crashedServers) add(c *Crash) {
	known := s.parts[c.Server]
	if known == nil {
		known = &serverParts{parts: make(map[string]struct{}, len(c.Parts)), at: c.Ended}
		s.parts[c.Server] = known
	}
	s.total -= len(known.parts)
	for _, part := range c.Parts {
		if _, has := known.parts[part]; !has {
			known.parts[strings.Clone(part)] = struct{}{} // it may be a piece of a long header
		}
	}
	s.total += len(known.parts)
	for s.total > maxCrashParts && len(s.parts) > 1 {
		s.dropOldest(c.Server)
	}
}

// dropOldest forgets the server that crashed first, except one.
func (s *crashedServers) dropOldest(except string) {
	oldest := ""
	for server, p := range s.parts {
		if server != except && (oldest == "" || p.at.Before(s.parts[oldest].at)) {
			oldest = server
		}
	}
	s.drop(oldest)
}

func (s *crashedServers) drop(server string) {
	if p := s.parts[server]; p != nil {
		s.total -= len(p.parts)
		delete(s.parts, server)
	}
}

// expire forgets the servers of whose parts none is to be kept.
func (s *crashedServers) expire(keep func(part string) bool) {
	for server, p := range s.parts {
		if !anyPart(p.parts, keep) {
			s.drop(server)
		}
	}
}

func anyPart(parts map[string]struct{}, f func(part string) bool) bool {
	for part := range parts {
		if f(part) {
			return true
		}
	}
	return false
}
