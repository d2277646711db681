package fleet

import (
	"net"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a proxy that cannot listen again after a cut ("address already
// in use"): a process that is being started holds a copy of the closed listener
// until it executes its program.
func TestProxyListensAgainWhileProcessesStart(t *testing.T) {
	is := is.New(t)
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = upstream.Close() }()
	f := &Fleet{}
	defer f.releasePorts()
	end := time.Now().Add(2 * time.Second)
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for time.Now().Before(end) {
				if err := exec.Command("true").Run(); err != nil {
					t.Errorf("start a process: %v", err)
					return
				}
			}
		})
	}
	var breakers sync.WaitGroup
	for range 12 {
		p, err := f.Proxy("proxy", upstream.Addr().String())
		is.NoErr(err)
		breakers.Go(func() {
			for time.Now().Before(end) {
				if err := p.Break(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	breakers.Wait()
	starters.Wait()
}
