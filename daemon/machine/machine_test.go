package machine

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against limits that a client within the users' pages meets on their smallest machines:
// a body of the largest size, of which a chunked one takes three halves while it grows, and the
// callers of a data centre on one gateway.
func TestLimitsOfTheSmallestMachine(t *testing.T) {
	is := is.New(t)
	const largestBody = 4 << 20
	l := Machine{Memory: 136 * bytesPerMB, Files: 2870}.CallerLimits(0.25, 0.05)
	is.True(l.Bytes >= 4*largestBody*3/2)
	is.True(l.Holders >= 400 && l.Holders <= (2870-reservedDescriptors)/2)
	is.True(l.SmallBytes >= 64*31_000) // bodies of the longest prompts
}

// Guards against a process without any connection, or without a limit, because its machine
// states odd figures or none.
func TestLimitsOfOddMachines(t *testing.T) {
	is := is.New(t)
	is.Equal(Machine{Memory: 1, Files: 10}.CallerLimits(0.25, 0.05).Holders, minConnections)
	m := Of(0, 0)
	is.True(m.Memory > 0 && m.Files > 0)
	is.Equal(Of(64, 300).Memory, int64(64*bytesPerMB))
	is.Equal(Of(64, 300).Files, 300)
}
