package httpkv

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphorwick.dev/cloud"
	"camphorwick.dev/cloud/httpcall"
	"camphorwick.dev/standin/rawanswer"
)

// clientOf returns a client of a platform that answers every call with the given
// bytes and closes its connection in good order.
func clientOf(t *testing.T, answer string) *Client {
	t.Helper()
	client := New(Options{Address: (&rawanswer.Server{Answer: answer}).StartFor(t), CallTimeout: 2 * time.Second})
	t.Cleanup(client.Close)
	return client
}

// Guards against a part of a stored value, such as an order claim, that is taken for
// the whole one: its answer has no length and its connection ends in good order.
func TestUnframedValueIsRefused(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Revision: 7\r\n"
	is := is.New(t)
	_, err := clientOf(t, head+"\r\nhalf a val").Get(context.Background(), "key")
	is.True(errors.Is(err, httpcall.ErrUnframed))
	var unavailable *cloud.UnavailableError
	is.True(errors.As(err, &unavailable))
	entry, err := clientOf(t, head+"Connection: close\r\nContent-Length: 5\r\n\r\nvalue").Get(context.Background(), "key")
	is.NoErr(err)
	is.Equal(string(entry.Value), "value")
}
