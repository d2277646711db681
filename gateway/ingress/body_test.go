package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller whose body does not arrive in its time and who gets no
// answer then.
func TestTimeEndsWhileBodyIsRead(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, text(200, "done"))
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nKey: secret\r\nId: r1\r\nLeft: 300\r\nContent-Length: 8\r\n\r\nhalf")
	is.NoErr(err)
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable) // it has not run
}
