package gatewaysoak

import (
	"errors"
	"os/exec"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against an end by itself that is taken for one by a signal.
func TestEndedBy(t *testing.T) {
	is := is.New(t)
	end := func(script string) error { return exec.Command("sh", "-c", script).Run() }
	is.True(endedBy(end("kill -HUP $$"), syscall.SIGHUP))
	is.True(!endedBy(end("kill -TERM $$"), syscall.SIGHUP))
	is.True(!endedBy(end("exit 129"), syscall.SIGHUP))
	is.True(!endedBy(end("exit 0"), syscall.SIGHUP))
	is.True(!endedBy(errors.New("hangup"), syscall.SIGHUP))
}
