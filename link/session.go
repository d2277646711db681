package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"camphorwick.dev/api/wire"
)

// ProtocolVersion is sent in Hello. Processes with different versions refuse
// each other's sessions.
const ProtocolVersion = 1

// Timeouts of a session and receive window of a stream. handshakeTimeout covers
// TLS and both Hellos. After writeTimeout a connection that accepts no data breaks
// its session. After closeTimeout a stream ends that only this side has closed.
const (
	handshakeTimeout = 5 * time.Second
	dialTimeout      = 2 * time.Second
	writeTimeout     = 10 * time.Second
	closeTimeout     = 30 * time.Second
	dataWindowBytes  = 1 << 20 // a 4 MB prompt takes four round trips
)

var errProtocolVersion = errors.New("protocol version mismatch")
var errSessionKind = errors.New("unexpected session kind")

// Session is a yamux session with a peer whose Hello has been verified.
type Session struct {
	Peer *wire.Hello
	mux  *yamux.Session
	// opening counts calls of Node.Open that have chosen this session and whose
	// stream may not be counted by mux yet.
	opening atomic.Int64
}

// inUse reports whether the session has streams that not both sides have closed.
func (s *Session) inUse() bool { return s.opening.Load() > 0 || s.mux.NumStreams() > 0 }

// Open starts a stream. Errors are *Error of kind Unreachable: nothing was
// sent.
func (s *Session) Open() (*Stream, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, &Error{Kind: Unreachable, Peer: s.Peer.Vm, Cause: err}
	}
	return s.newStream(stream), nil
}

// openContext is like Open but returns when ctx ends; Open blocks while the
// connection accepts no data. A stream that opens after ctx has ended is closed.
func (s *Session) openContext(ctx context.Context) (*Stream, error) {
	opened := make(chan *Stream, 1)
	failed := make(chan error, 1)
	go func() {
		stream, err := s.Open()
		if err != nil {
			failed <- err
			return
		}
		opened <- stream
	}()
	select {
	case stream := <-opened:
		return stream, nil
	case err := <-failed:
		return nil, err
	case <-ctx.Done():
	}
	go func() {
		select {
		case stream := <-opened:
			stream.Close()
		case <-failed:
		}
	}()
	return nil, &Error{Kind: Unreachable, Peer: s.Peer.Vm, Cause: context.Cause(ctx)}
}

// Accept waits for a stream that the peer opens.
func (s *Session) Accept() (*Stream, error) {
	stream, err := s.mux.AcceptStream()
	if err != nil {
		return nil, &Error{Kind: Broken, Peer: s.Peer.Vm, Cause: err}
	}
	return s.newStream(stream), nil
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// Close ends the session and all its streams.
func (s *Session) Close() { _ = s.mux.Close() }

func (s *Session) newStream(stream *yamux.Stream) *Stream {
	maxBytes := MaxDataBytes
	if s.Peer.Kind == wire.SessionKind_SESSION_KIND_CONTROL {
		maxBytes = MaxControlBytes
	}
	out := &Stream{Peer: s.Peer, mux: stream, maxBytes: maxBytes}
	out.reader = bufio.NewReader((*receivedBytes)(out))
	return out
}

// receivedBytes reads the bytes of a stream and reports that some have arrived.
type receivedBytes Stream

func (r *receivedBytes) Read(p []byte) (int, error) {
	n, err := r.mux.Read(p)
	if n > 0 && r.onReceive != nil {
		r.onReceive()
	}
	return n, err
}

// Stream carries messages in both directions. One goroutine may read and one
// may write at a time.
type Stream struct {
	Peer     *wire.Hello
	mux      *yamux.Stream
	reader   *bufio.Reader
	maxBytes int // of a message
	// onReceive is called by Read for each part of a message that arrives; nil for
	// none.
	onReceive func()
	closed    atomic.Bool
}

// Write sends a message. Errors are *Error of kind Broken; a part of the
// message may have arrived.
func (s *Stream) Write(m proto.Message) error {
	if err := writeMessage(s.mux, m); err != nil {
		return &Error{Kind: Broken, Peer: s.Peer.Vm, Cause: err}
	}
	return nil
}

// WriteContext is like Write but returns when ctx ends. A write blocks while the
// peer's receive window is full or the connection accepts no data. If ctx ends
// first, the stream can only be closed: the write may still be in progress, and
// the peer receives a truncated message.
func (s *Stream) WriteContext(ctx context.Context, m proto.Message) error {
	buffer, err := encodeMessage(m)
	if err != nil {
		return &Error{Kind: Broken, Peer: s.Peer.Vm, Cause: err}
	}
	written := make(chan error, 1)
	go func() { written <- writeFrames(s.mux, buffer) }()
	select {
	case err = <-written:
	case <-ctx.Done():
		_ = s.mux.SetWriteDeadline(time.Now())
		err = context.Cause(ctx)
	}
	if err != nil {
		return &Error{Kind: Broken, Peer: s.Peer.Vm, Cause: err}
	}
	return nil
}

// Read receives a message. Errors are *Error of kind Broken or BadMessage;
// io.EOF is in the chain when the peer closed the stream.
func (s *Stream) Read(m proto.Message) error {
	err := readMessage(s.reader, m, s.maxBytes)
	if err == nil {
		return nil
	}
	kind := BadMessage
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isMuxError(err) {
		kind = Broken
	}
	return &Error{Kind: kind, Peer: s.Peer.Vm, Cause: err}
}

func isMuxError(err error) bool {
	var netError net.Error
	return errors.Is(err, yamux.ErrSessionShutdown) || errors.Is(err, yamux.ErrStreamClosed) ||
		errors.Is(err, yamux.ErrConnectionReset) || errors.As(err, &netError)
}

// SetReadDeadline bounds Read; the zero time means no limit.
func (s *Stream) SetReadDeadline(t time.Time) { _ = s.mux.SetReadDeadline(t) }

// Close closes the stream in both directions. It does not wait for the close to
// be sent, which takes up to writeTimeout while the connection accepts no data.
func (s *Stream) Close() {
	if s.closed.Swap(true) {
		return
	}
	_ = s.mux.SetReadDeadline(time.Now())
	go func() { _ = s.mux.Close() }()
}

// CloseWith sends a final message and closes the stream without waiting. A later
// Close does not cut off the message.
func (s *Stream) CloseWith(m proto.Message) {
	if s.closed.Swap(true) {
		return
	}
	_ = s.mux.SetReadDeadline(time.Now())
	go func() {
		_ = s.Write(m) // the peer sees the end of the stream in any case
		_ = s.mux.Close()
	}()
}

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // heartbeats on the control session replace it
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = 0 // Node closes the sessions of unresponsive peers
	config.StreamCloseTimeout = closeTimeout
	config.MaxStreamWindowSize = dataWindowBytes
	config.AcceptBacklog = 4096 // streams that a peer may open before they are accepted
	config.LogOutput = io.Discard
	return config
}

// dialSession connects to address and performs the handshake.
func dialSession(ctx context.Context, address string, config *tls.Config, self *wire.Hello) (*Session, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{Kind: Unreachable, Peer: address, Cause: err}
	}
	if config != nil {
		conn = tls.Client(conn, config)
	}
	peer, err := handshake(conn, self, self.Kind)
	if err != nil {
		_ = conn.Close()
		return nil, &Error{Kind: Refused, Peer: address, Cause: err}
	}
	session, err := newSession(conn, peer)
	if err != nil {
		_ = conn.Close()
		return nil, &Error{Kind: Refused, Peer: address, Cause: err}
	}
	return session, nil
}

// newSession returns the client side of a session on a connection.
func newSession(conn net.Conn, peer *wire.Hello) (*Session, error) {
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		return nil, fmt.Errorf("start session: %w", err)
	}
	return &Session{Peer: peer, mux: mux}, nil
}

// acceptSession answers the Hello of a connection. hello returns this process's
// Hello for the session kind that the peer requests, or an error to refuse it.
func acceptSession(conn net.Conn, config *tls.Config, hello func(wire.SessionKind) (*wire.Hello, error)) (*Session, error) {
	address := conn.RemoteAddr().String()
	if config != nil {
		conn = tls.Server(conn, config)
	}
	peer, err := acceptHandshake(conn, hello)
	if err != nil {
		_ = conn.Close()
		return nil, &Error{Kind: Refused, Peer: address, Cause: err}
	}
	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, &Error{Kind: Refused, Peer: address, Cause: err}
	}
	return &Session{Peer: peer, mux: mux}, nil
}

// handshake sends self and reads the peer's Hello, whose session kind must be
// kind.
func handshake(conn net.Conn, self *wire.Hello, kind wire.SessionKind) (*wire.Hello, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	if err := writeMessage(conn, self); err != nil {
		return nil, err
	}
	peer, err := readHello(conn)
	if err != nil {
		return nil, err
	}
	if peer.Kind != kind {
		return nil, errSessionKind
	}
	return peer, nil
}

func acceptHandshake(conn net.Conn, hello func(wire.SessionKind) (*wire.Hello, error)) (*wire.Hello, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	peer, err := readHello(conn)
	if err != nil {
		return nil, err
	}
	self, err := hello(peer.Kind)
	if err != nil {
		return nil, err
	}
	return peer, writeMessage(conn, self)
}

// readHello reads and verifies a Hello. It reads no byte beyond the message,
// because yamux takes over the connection afterwards.
func readHello(conn net.Conn) (*wire.Hello, error) {
	peer := &wire.Hello{}
	reader := bufio.NewReaderSize(&oneByteReader{conn}, 16)
	if err := readMessage(reader, peer, MaxHelloBytes); err != nil {
		return nil, err
	}
	if peer.ProtocolVersion != ProtocolVersion {
		return nil, fmt.Errorf("%w: peer has version %d, this process has %d", errProtocolVersion, peer.ProtocolVersion, ProtocolVersion)
	}
	return peer, nil
}

// oneByteReader returns one byte per Read, so that a buffered reader never
// consumes bytes that belong to yamux. This is cheap enough for a short Hello.
type oneByteReader struct{ r io.Reader }

func (o *oneByteReader) Read(p []byte) (int, error) {
	if len(p) > 1 {
		p = p[:1]
	}
	return o.r.Read(p)
}
