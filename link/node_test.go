package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"camphorwick.dev/api/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a Handler that records its calls and answers each SubmitRequest
// with the prompt as tokens.
type recorder struct {
	mu         sync.Mutex
	usable     map[string]bool
	heartbeats map[string]int
	configs    []uint64
	revision   uint64
}

func newRecorder() *recorder {
	return &recorder{usable: map[string]bool{}, heartbeats: map[string]int{}}
}

func (r *recorder) Heartbeat(*wire.Hello) *wire.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &wire.Heartbeat{ConfigRevision: r.revision}
}

func (r *recorder) HeartbeatReceived(peer *wire.Hello, h *wire.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeats[peer.Vm]++
}

func (r *recorder) ConfigReceived(peer *wire.Hello, u *wire.ConfigUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configs = append(r.configs, lastRevision(u))
	r.revision = max(r.revision, lastRevision(u))
}

func (r *recorder) ConfigFor(revision uint64) *wire.ConfigUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision >= r.revision {
		return nil
	}
	return &wire.ConfigUpdate{Snapshot: &wire.ConfigSnapshot{Revision: r.revision}}
}

func (r *recorder) PeerChanged(peer *wire.Hello, usable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usable[peer.Vm] = usable
}

func (r *recorder) Stream(_ context.Context, s *Stream) {
	header := &wire.StreamHeader{}
	if s.Read(header) == nil {
		_ = s.Write(&wire.AgentMessage{Body: &wire.AgentMessage_Tokens{Tokens: &wire.Tokens{Texts: []string{string(header.GetSubmit().GetPrompt())}}}})
	}
}

func (r *recorder) isUsable(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usable[vm]
}

// testNode is a running Node.
type testNode struct {
	*Node
	*recorder
	address string
	stop    func()
}

func startNode(t *testing.T, vm string, role wire.Role, epoch uint64, client, server *tls.Config) *testNode {
	t.Helper()
	r := newRecorder()
	return runNode(t, Config{Handler: r, ClientTLS: client, ServerTLS: server}, vm, role, epoch, r)
}

// startNodeWithHandler starts a node without transport security whose handler
// extends a recorder.
func startNodeWithHandler(t *testing.T, vm string, role wire.Role, epoch uint64, handler Handler, r *recorder) *testNode {
	t.Helper()
	return runNode(t, Config{Handler: handler}, vm, role, epoch, r)
}

func runNode(t *testing.T, config Config, vm string, role wire.Role, epoch uint64, r *recorder) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	config.Log = slog.New(slog.DiscardHandler)
	config.Self = func() *wire.Hello { return &wire.Hello{Vm: vm, Role: role, DataCentre: "dc-1", Epoch: epoch} }
	node := NewNode(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := node.Run(ctx, listener); err != nil {
			t.Errorf("run node %s: %v", vm, err)
		}
	}()
	stop := sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(stop)
	return &testNode{Node: node, recorder: r, address: listener.Addr().String(), stop: stop}
}

func eventually(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", timeout, what)
		}
	}
}

func (n *testNode) setTarget(vm, address string) {
	n.SetTargets([]Target{{VM: vm, Role: wire.Role_ROLE_AGENT, Address: address}})
}

// roundTrip sends a prompt to a peer and returns the answer.
func roundTrip(n *testNode, vm string, prompt []byte) (string, error) {
	stream, _, err := n.Open(context.Background(), vm)
	if err != nil {
		return "", err
	}
	defer stream.Close()
	err = stream.Write(&wire.StreamHeader{Body: &wire.StreamHeader_Submit{Submit: &wire.SubmitRequest{Prompt: prompt}}})
	if err != nil {
		return "", err
	}
	answer := &wire.AgentMessage{}
	if err := stream.Read(answer); err != nil {
		return "", err
	}
	return answer.GetTokens().Texts[0], nil
}

// Guards against heartbeats that are delayed by large prompts, and against a
// configuration change that waits for the next heartbeat.
func TestStreamsBesideHeartbeats(t *testing.T) {
	is := is.New(t)
	agent := startNode(t, "agent", wire.Role_ROLE_AGENT, 1, nil, nil)
	entry := startNode(t, "entry", wire.Role_ROLE_ENTRY, 1, nil, nil)
	entry.setTarget("agent", agent.address)
	eventually(t, 5*time.Second, "agent is usable", func() bool { return entry.isUsable("agent") })
	prompt := make([]byte, 4<<20)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); { // longer than SuspectAfter
		text, err := roundTrip(entry, "agent", prompt)
		is.NoErr(err)
		is.Equal(len(text), len(prompt))
		is.True(entry.isUsable("agent"))
	}
	entry.recorder.mu.Lock()
	entry.revision = 7
	entry.recorder.mu.Unlock()
	started := time.Now()
	entry.SendHeartbeats()
	eventually(t, time.Second, "revision 7 at the agent", func() bool {
		agent.recorder.mu.Lock()
		defer agent.recorder.mu.Unlock()
		return agent.revision == 7
	})
	is.True(time.Since(started) < HeartbeatInterval/2)
}

// Guards against work for a peer that is unresponsive while its connection stays
// open, and against a suspicion that is not lifted when the peer responds again.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	agent := startNode(t, "agent", wire.Role_ROLE_AGENT, 1, nil, nil)
	proxy := newPausableProxy(t, agent.address)
	entry := startNode(t, "entry", wire.Role_ROLE_ENTRY, 1, nil, nil)
	entry.setTarget("agent", proxy.address)
	eventually(t, 5*time.Second, "agent is usable", func() bool { return entry.isUsable("agent") })
	_, lost, err := entry.Open(context.Background(), "agent")
	is.NoErr(err)
	started := time.Now()
	proxy.pause()
	eventually(t, SuspectAfter+HeartbeatInterval, "agent is suspected", func() bool { return !entry.isUsable("agent") })
	t.Logf("suspected after %v", time.Since(started))
	<-lost.Done()
	_, _, err = entry.Open(context.Background(), "agent")
	is.True(err != nil)
	proxy.resume()
	eventually(t, 5*time.Second, "agent is usable again", func() bool { return entry.isUsable("agent") })
}

// Guards against a process that resumes after its replacement has started and is
// accepted in place of the new process.
func TestOldEpochRefused(t *testing.T) {
	entry := startNode(t, "entry", wire.Role_ROLE_ENTRY, 1, nil, nil)
	newer := startNode(t, "agent", wire.Role_ROLE_AGENT, 2, nil, nil)
	entry.setTarget("agent", newer.address)
	eventually(t, 5*time.Second, "new process is usable", func() bool { return entry.isUsable("agent") })
	newer.stop()
	eventually(t, 5*time.Second, "new process is not usable", func() bool { return !entry.isUsable("agent") })
	older := startNode(t, "agent", wire.Role_ROLE_AGENT, 1, nil, nil)
	entry.setTarget("agent", older.address)
	time.Sleep(time.Second) // time for several dial attempts
	is.New(t).True(!entry.isUsable("agent"))
}

// Guards against crashes and leaked connections caused by input that is no valid
// Hello.
func TestGarbage(t *testing.T) {
	is := is.New(t)
	node := startNode(t, "agent", wire.Role_ROLE_AGENT, 1, nil, nil)
	// an HTTP request, a length above 64 bits, an empty message, an immediate close
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x7f", "\x00", ""} {
		conn, err := net.Dial("tcp", node.address)
		is.NoErr(err)
		_, _ = conn.Write([]byte(garbage))
		if garbage == "" {
			_ = conn.Close()
			continue
		}
		_ = conn.SetReadDeadline(time.Now().Add(2 * handshakeTimeout))
		_, err = conn.Read(make([]byte, 1))
		is.True(err != nil) // the node has closed the connection
		_ = conn.Close()
	}
	entry := startNode(t, "entry", wire.Role_ROLE_ENTRY, 1, nil, nil)
	entry.setTarget("agent", node.address)
	eventually(t, 5*time.Second, "agent is usable", func() bool { return entry.isUsable("agent") })
}

// Guards against sessions with processes that have no certificate of the
// installation's CA.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	ca, otherCA := newTestCA(t), newTestCA(t)
	client, server := ca.issue(t)
	otherClient, otherServer := otherCA.issue(t)
	agent := startNode(t, "agent", wire.Role_ROLE_AGENT, 1, client, server)
	entry := startNode(t, "entry", wire.Role_ROLE_ENTRY, 1, client, server)
	entry.setTarget("agent", agent.address)
	eventually(t, 5*time.Second, "agent is usable", func() bool { return entry.isUsable("agent") })
	text, err := roundTrip(entry, "agent", []byte("primer"))
	is.NoErr(err)
	is.Equal(text, "primer")
	for name, config := range map[string]*tls.Config{"other CA": otherClient, "no certificate": {InsecureSkipVerify: true}, "plain text": nil} {
		untrusted := startNode(t, "stranger", wire.Role_ROLE_ENTRY, 1, config, otherServer)
		untrusted.setTarget("agent", agent.address)
		time.Sleep(500 * time.Millisecond)
		if untrusted.isUsable("agent") || agent.isUsable("stranger") {
			t.Errorf("%s: the untrusted process has a session", name)
		}
		untrusted.stop()
	}
}

// pausableProxy is a TCP proxy whose traffic can be paused.
type pausableProxy struct {
	address string
	mu      sync.Mutex
	paused  bool
	changed *sync.Cond
}

func newPausableProxy(t *testing.T, target string) *pausableProxy {
	t.Helper()
	p := &pausableProxy{}
	p.changed = sync.NewCond(&p.mu)
	p.address = startProxy(t, target, p.copy, p.copy)
	t.Cleanup(p.resume) // runs before the cleanup of the proxy, which waits for its connections
	return p
}

// startProxy starts a TCP proxy and returns its address. up copies from callers to the
// target and down back; both close their connections at the end. The cleanup of the
// test waits for them.
func startProxy(t *testing.T, target string, up, down func(to, from net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	t.Cleanup(func() { _ = listener.Close(); group.Wait() })
	group.Go(func() {
		for {
			a, err := listener.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", target)
			if err != nil {
				_ = a.Close()
				continue
			}
			group.Go(func() { up(b, a) })
			group.Go(func() { down(a, b) })
		}
	})
	return listener.Addr().String()
}

func (p *pausableProxy) copy(to, from net.Conn) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		for p.paused {
			p.changed.Wait()
		}
		p.mu.Unlock()
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *pausableProxy) pause() { p.set(true) }

func (p *pausableProxy) resume() { p.set(false) }

func (p *pausableProxy) set(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = paused
	p.changed.Broadcast()
}

// testCA is a certificate authority.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newTestCA(t *testing.T) *testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, IsCA: true,
		BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &testCA{certificate, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a new certificate to files and loads them with LoadTLS.
func (a *testCA) issue(t *testing.T) (client, server *tls.Config) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "vm"}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := map[string][]byte{"cert.pem": pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		"key.pem": pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), "ca.pem": a.pem}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	client, server, err = LoadTLS(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return client, server
}
