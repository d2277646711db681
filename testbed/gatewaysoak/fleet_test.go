package gatewaysoak

import (
	"errors"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against an exit with a status or another signal that is taken for
// termination by the expected signal, which would hide a violation.
func TestTerminatedBy(t *testing.T) {
	is := is.New(t)
	// If this process was started with SIGHUP ignored, as by nohup, its children would
	// ignore it as well. Notify ends that.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	runScript := func(script string) error { return exec.Command("sh", "-c", script).Run() }
	is.True(terminatedBy(runScript("kill -HUP $$"), syscall.SIGHUP))
	is.True(!terminatedBy(runScript("kill -TERM $$"), syscall.SIGHUP))
	is.True(!terminatedBy(runScript("exit 129"), syscall.SIGHUP))
	is.True(!terminatedBy(runScript("exit 0"), syscall.SIGHUP))
	is.True(!terminatedBy(errors.New("hangup"), syscall.SIGHUP))
}
