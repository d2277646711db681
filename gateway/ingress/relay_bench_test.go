package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// benchmarkEvents is the number of events of a stream in BenchmarkRelay.
const benchmarkEvents = 1000

// BenchmarkRelay measures a stream through the gateway, from a server to its caller,
// over loopback connections.
func BenchmarkRelay(b *testing.B) {
	var body strings.Builder
	for id := range benchmarkEvents {
		fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", id+1, strings.Repeat("x", 50))
	}
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nMark: m\r\nContent-Length: %d\r\n\r\n%s", body.Len(), body.String())
	f := newFleet(b, func(c net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		_, err := io.WriteString(c, answer)
		return err == nil
	})
	b.ReportAllocs()
	for b.Loop() {
		response, _, err := f.call(http.MethodPost, "/stream/", "", "x")
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(response, err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchmarkEvents, "ns/event")
}

// BenchmarkEventBuffer measures the splitting of a stream into events, in reads of
// one event each.
func BenchmarkEventBuffer(b *testing.B) {
	event := []byte("id: 1\ndata: " + strings.Repeat("x", 50) + "\n\n")
	b.ReportAllocs()
	var buffer eventBuffer
	for b.Loop() {
		buffer.add(event)
		if buffer.next() == nil {
			b.Fatal("no event")
		}
	}
}
