package standin

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serverEvent is a line that a backend server writes for the record.
type serverEvent struct {
	Event   string `json:"event"` // "runs", "has answered" or "crashes on"
	Server  string `json:"server"`
	Request string `json:"request"`
	Parts   string `json:"parts"` // X-Prompt-Prefix
	At      int64  `json:"at"`    // Unix milliseconds
}

// backend is a stand-in for a backend server. It answers paths that begin with /stream/
// with numbered events and all others with numbered lines.
type backend struct {
	id       string
	pieces   int           // events or lines of a whole answer
	interval time.Duration // between two of them
	work     time.Duration // before the first one
	unframed bool          // answers end with their connection
	crashOn  string        // part of prompts on which the process ends as it begins to answer
	mu       sync.Mutex    // guards standard output
}

func serverMain(args []string) {
	b := &backend{}
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	flags.StringVar(&b.id, "id", "", "server ID")
	flags.IntVar(&b.pieces, "pieces", 4, "events or lines of an answer")
	flags.DurationVar(&b.interval, "interval", 0, "time between two of them")
	flags.DurationVar(&b.work, "work", 10*time.Millisecond, "time before the first one")
	flags.BoolVar(&b.unframed, "unframed", false, "answers have neither a length nor chunks")
	flags.StringVar(&b.crashOn, "crash-on", "", "part of prompts on which the server crashes")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

func (b *backend) report(event string, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line, _ := json.Marshal(serverEvent{event, b.id, r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Prompt-Prefix"), time.Now().UnixMilli()})
	fmt.Println(string(line))
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !b.answer(c, r) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection must be closed.
func (b *backend) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	b.report("runs", r)
	time.Sleep(b.work)
	if b.crashOn != "" && hasPart(r, b.crashOn) {
		b.report("crashes on", r)
		os.Exit(1)
	}
	stream := strings.HasPrefix(r.URL.Path, "/stream/")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !b.write(c, id, stream, first) {
		return false
	}
	b.report("has answered", r)
	return !b.unframed
}

// write writes the answer from the piece after first on.
func (b *backend) write(c net.Conn, id string, stream bool, first int) bool {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Stamp: stamp." + b.id + "\r\n"
	if stream {
		head += "Content-Type: text/event-stream\r\n"
	}
	if b.unframed {
		head += "Connection: close\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return false
	}
	for n := first + 1; n <= b.pieces; n++ {
		if n > first+1 {
			time.Sleep(b.interval)
		}
		if !b.writePiece(c, piece(stream, id, n)) {
			return false
		}
	}
	if b.unframed {
		return true
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (b *backend) writePiece(c net.Conn, text string) bool {
	if !b.unframed {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

// piece returns piece n of the answer to a request, which is the same at each server.
func piece(stream bool, id string, n int) string {
	if stream {
		return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
	}
	return fmt.Sprintf("line %d of %s\n", n, id)
}

// wholeAnswer returns the complete body of the answer to a request.
func wholeAnswer(stream bool, id string, pieces int) string {
	var text strings.Builder
	for n := 1; n <= pieces; n++ {
		text.WriteString(piece(stream, id, n))
	}
	return text.String()
}

// hasPart reports whether a prompt has a part, the last one excluded.
func hasPart(r *http.Request, part string) bool {
	entries := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
	for _, entry := range entries[:len(entries)-1] {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return true
		}
	}
	return false
}
