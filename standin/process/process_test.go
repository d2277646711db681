package process

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against long flags with one dash that are read as groups of one-letter
// flags, and against negative numbers that are read as flags.
func TestLongFlags(t *testing.T) {
	is := is.New(t)
	is.Equal(LongFlags([]string{"-address", "127.0.0.1:0", "--seed=1", "-h", "-", "-limit", "-12"}),
		[]string{"--address", "127.0.0.1:0", "--seed=1", "-h", "-", "--limit", "-12"})
}
