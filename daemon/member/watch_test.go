package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a watcher of the configuration that is ended and begun again, with its
// read of a large configuration, while a peer responds and fails by turns.
func TestWatcherStaysWhilePeersFlap(t *testing.T) {
	is := is.New(t)
	started := time.Now()
	var choice watcherChoice
	is.True(!choice.watch(false, started))
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		is.True(choice.watch(at%(4*time.Second) == 0, started.Add(at)))
	}
	is.True(!choice.watch(false, started.Add(time.Minute+watcherHold)))
}
