// Package process implements what the commands of the HTTP stand-ins share:
// flags, listeners on two addresses, the ready line and the stop on a signal.
package process

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/valyala/fasthttp"
)

// stopTimeout bounds the wait for running calls when a stand-in stops.
const stopTimeout = time.Second

// Addresses are the flags that every stand-in has.
type Addresses struct {
	Address       string `long:"address" default:"127.0.0.1:0" description:"address of the service; port 0 picks a free port"`
	FaultsAddress string `long:"faults-address" default:"127.0.0.1:0" description:"address of the fault injection"`
}

// Ready is the line that a stand-in prints when it is ready to serve.
type Ready struct {
	Message       string `json:"msg"` // "ready"
	Address       string `json:"address"`
	FaultsAddress string `json:"faults_address"`
}

// Handlers are the request handlers of a stand-in, for its two addresses.
type Handlers struct {
	Handle, HandleFaults fasthttp.RequestHandler
	MaxRequestBytes      int
}

// ParseFlags fills options, a pointer to a go-flags struct, from the command
// line. Long names may have one dash or two. It ends the process after --help
// (exit code 0) and on an error (exit code 2).
func ParseFlags(options any) {
	parser := flags.NewParser(options, flags.HelpFlag)
	rest, err := parser.ParseArgs(LongFlags(os.Args[1:]))
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected arguments %q", rest)
	}
	if err == nil {
		return
	}
	if flagsError := new(flags.Error); errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Println(err)
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

// LongFlags turns -name into --name, which is the form that go-flags expects: it
// reads "-address" as a group of one-letter flags. Negative numbers stay as they are.
func LongFlags(arguments []string) []string {
	out := make([]string, len(arguments))
	for i, a := range arguments {
		if len(a) > 2 && a[0] == '-' && a[1] != '-' && (a[1] < '0' || a[1] > '9') {
			a = "-" + a
		}
		out[i] = a
	}
	return out
}

// Main serves until SIGTERM or SIGINT and returns the exit code.
func Main(a Addresses, h Handlers) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := Run(ctx, a, h, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// Run serves until ctx ends. When both addresses are bound, it writes one
// JSON line with them to out.
func Run(ctx context.Context, a Addresses, h Handlers, out io.Writer) error {
	serviceListener, err := net.Listen("tcp", a.Address)
	if err != nil {
		return fmt.Errorf("listen on the service address: %w", err)
	}
	faultsListener, err := net.Listen("tcp", a.FaultsAddress)
	if err != nil {
		return errors.Join(fmt.Errorf("listen on the faults address: %w", err), serviceListener.Close())
	}
	failed := make(chan error, 2)
	servers := []*fasthttp.Server{newServer(h.Handle, h), newServer(h.HandleFaults, h)}
	for i, listener := range []net.Listener{serviceListener, faultsListener} {
		go func() { failed <- servers[i].Serve(listener) }()
	}
	if err := writeReady(out, serviceListener.Addr(), faultsListener.Addr()); err != nil {
		return errors.Join(err, shutdown(servers))
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serve the service or the faults address: %w", err)
	case <-ctx.Done():
		return shutdown(servers)
	}
}

// Start serves on free loopback ports in the calling process, for tests of
// clients. stop ends the servers and returns their error.
func Start(h Handlers) (ready Ready, stop func() error, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	done := make(chan error, 1)
	go func() {
		err := Run(ctx, Addresses{Address: "127.0.0.1:0", FaultsAddress: "127.0.0.1:0"}, h, w)
		_ = w.CloseWithError(err)
		done <- err
	}()
	if err := json.NewDecoder(r).Decode(&ready); err != nil {
		cancel()
		return Ready{}, nil, fmt.Errorf("read ready line: %w", err)
	}
	return ready, func() error { cancel(); return <-done }, nil
}

func newServer(handler fasthttp.RequestHandler, h Handlers) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, MaxRequestBodySize: h.MaxRequestBytes,
		NoDefaultServerHeader: true, CloseOnShutdown: true,
	}
}

func writeReady(out io.Writer, address, faultsAddress net.Addr) error {
	err := json.NewEncoder(out).Encode(Ready{"ready", address.String(), faultsAddress.String()})
	if err != nil {
		return fmt.Errorf("write ready line: %w", err)
	}
	return nil
}

// shutdown stops the servers. Calls that still run after stopTimeout are
// aborted; a stand-in has no state to save.
func shutdown(servers []*fasthttp.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range servers {
		if err := server.ShutdownWithContext(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return fmt.Errorf("shut down server: %w", err)
		}
	}
	return nil
}
