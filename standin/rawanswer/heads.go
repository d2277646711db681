package rawanswer

import (
	"fmt"
	"strings"
)

// CutHead is an answer that ends inside its head.
type CutHead struct {
	// Name says which framing was cut and after how many bytes.
	Name  string
	Bytes string
}

// CutHeads returns the head of a successful answer with the given header lines (each with
// its line end), cut after each byte: with a length, in chunks, with neither, in HTTP/1.0,
// after an interim answer, and with "\n" as line end. body is what would follow.
func CutHeads(headers, body string) []CutHead {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	var out []CutHead
	for _, c := range []struct{ name, head string }{
		{"length", "HTTP/1.1 200 OK\r\n" + headers + length + "\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n"},
		{"neither", "HTTP/1.1 200 OK\r\n" + headers + "\r\n"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + headers + "\r\n"},
		{"interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n" + headers + length + "\r\n"},
		{"line feeds", strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+headers+length+"\r\n", "\r\n", "\n")},
	} {
		for n := range len(c.head) {
			out = append(out, CutHead{fmt.Sprintf("%s, %d bytes", c.name, n), c.head[:n]})
		}
	}
	return out
}
