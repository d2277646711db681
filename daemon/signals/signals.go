// Package signals catches the signals of a daemon from the initialization of
// its packages on. Until then SIGHUP ends the process, and a deployment may
// send one just after a start. The package imports next to nothing, so that it
// is initialized before the large libraries.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals that have come and were not read yet; further ones are dropped, which
// loses nothing, because a reload and a stop do the same however often they
// were asked for.
var (
	// Reload gets SIGHUP.
	Reload = catch(syscall.SIGHUP)
	// Stop gets SIGTERM and SIGINT.
	Stop = catch(syscall.SIGTERM, syscall.SIGINT)
)

func catch(list ...os.Signal) chan os.Signal {
	c := make(chan os.Signal, 2)
	signal.Notify(c, list...)
	return c
}

// Release lets the signals end the process again, for commands that serve
// nothing.
func Release() {
	signal.Stop(Reload)
	signal.Stop(Stop)
}
