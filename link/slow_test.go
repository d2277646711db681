package link

import (
	"net"
	"testing"
	"time"

	"camphorwick.dev/api/wire"
)

const (
	// slowLinkBytes is the number of bytes that a slow link passes on in a second.
	slowLinkBytes = 60_000
	// largeConfigBytes takes longer over a slow link than an unresponsive peer may be
	// silent.
	largeConfigBytes = slowLinkBytes * (closeFactor*missedHeartbeats + 4)
)

// copySlowly copies slowLinkBytes a second.
func copySlowly(to, from net.Conn) {
	const parts = 20 // a second
	copyInParts(to, from, slowLinkBytes/parts, time.Second/parts)
}

// copyAll copies without a limit.
func copyAll(to, from net.Conn) { copyInParts(to, from, slowLinkBytes, 0) }

// copyInParts copies with a pause after each part.
func copyInParts(to, from net.Conn, size int, pause time.Duration) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	part := make([]byte, size)
	for {
		n, err := from.Read(part)
		if err != nil {
			return
		}
		if _, err := to.Write(part[:n]); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// largeConfig is a Handler that has a large configuration of revision 7.
type largeConfig struct{ *recorder }

func (h largeConfig) ConfigFor(revision uint64) *wire.ConfigUpdate {
	if revision >= 7 {
		return nil
	}
	item := &wire.ConfigItem{Key: "k", Value: make([]byte, largeConfigBytes)}
	return &wire.ConfigUpdate{Snapshot: &wire.ConfigSnapshot{Revision: 7, Items: []*wire.ConfigItem{item}}}
}

// Guards against a peer that counts as unresponsive, and whose session is closed, while
// a large message of it arrives over a slow link; the message is then sent anew.
func TestLargeConfigurationOverASlowLink(t *testing.T) {
	t.Parallel()
	agent := startNode(t, "agent", wire.Role_ROLE_AGENT, 1, nil, nil)
	address := startProxy(t, agent.address, copySlowly, copyAll) // its cleanup waits for the connections of the entry
	r := newRecorder()
	entry := startNodeWithHandler(t, "entry", wire.Role_ROLE_ENTRY, 1, largeConfig{r}, r)
	entry.setTarget("agent", address)
	eventually(t, 5*time.Second, "entry is usable", func() bool { return agent.isUsable("entry") })
	eventually(t, 20*time.Second, "revision 7 at the agent", func() bool {
		agent.recorder.mu.Lock()
		defer agent.recorder.mu.Unlock()
		return agent.revision == 7
	})
	if !agent.isUsable("entry") {
		t.Error("the entry counts as unresponsive at the agent")
	}
}
