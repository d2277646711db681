package ingress

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against logs that cannot tell which prompts have a part in common when servers
// end, and whether a server has ended or only a connection to it.
func TestBrokenStreamNamesPartsAndServerEnd(t *testing.T) {
	for _, ended := range []bool{true, false} {
		is := is.New(t)
		var f *fleet
		cut := func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
			if ended {
				f.closePort("s0")
			}
			return events(1, false)(c, br, r)
		}
		f = newFleet(t, cut)
		_, _, _ = f.call("POST", "/once/", "Tokens: 10\r\nParts: a1,b2\r\n", "x")
		want := `"server_ended":false`
		if ended {
			want = `"server_ended":true`
		}
		line := f.waitForLine("stream broken")
		is.True(strings.Contains(line, want))
		is.True(strings.Contains(line, `"shared_parts":["a1","b2"]`))
		is.True(strings.Contains(f.waitForLine("request ended"), `"shared_parts":["a1","b2"]`))
	}
}
