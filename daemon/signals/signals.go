// Package signals starts to catch the signals of a daemon during package
// initialization, and ignores SIGPIPE. Before that, SIGHUP terminates the process,
// and a deployment may send one just after a start. Keep the imports of this
// package few: Go initializes a package without dependencies before the large
// libraries.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Channels of received signals. Signals that exceed their capacity are dropped;
// this is safe, because reload and stop are idempotent and no more than two
// interrupts have an effect.
var (
	// Reload receives SIGHUP.
	Reload = notify(syscall.SIGHUP)
	// Terminate receives SIGTERM.
	Terminate = notify(syscall.SIGTERM)
	// Interrupt receives SIGINT.
	Interrupt = notify(syscall.SIGINT)
)

// Without this, a write to the log after its reader has ended terminates the
// process.
func init() { signal.Ignore(syscall.SIGPIPE) }

func notify(s os.Signal) chan os.Signal {
	c := make(chan os.Signal, 2)
	signal.Notify(c, s)
	return c
}

// RestoreDefaults makes the signals terminate the process again, for commands
// that do not run a server.
func RestoreDefaults() {
	signal.Stop(Reload)
	signal.Stop(Terminate)
	signal.Stop(Interrupt)
	signal.Reset(syscall.SIGPIPE)
}
