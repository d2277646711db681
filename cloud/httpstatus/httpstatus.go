// Package httpstatus refuses HTTP/1.1 answers whose status says nothing of what they are.
// fasthttp reads the status 000 as 200, so that the answer of a failing server looks like a
// success.
package httpstatus

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
)

// Error means that an answer has a status that a server must not send.
type Error struct{ Status int }

func (e *Error) Error() string { return fmt.Sprintf("answer with invalid status %03d", e.Status) }

// Conn is a connection to a server that carries one call at a time. A read that would return the
// status line of an invalid answer returns an *Error.
type Conn struct {
	net.Conn
	heads heads
}

// NewConn returns a Conn that reads from c and writes to it.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn. It begins a call if an answer was read before.
func (c *Conn) Write(p []byte) (int, error) {
	if c.heads.begun {
		c.heads = heads{}
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if invalid := c.heads.check(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// maxStatusLine is how much of a line is kept; the status stands at its beginning.
const maxStatusLine = 64

// heads reads the status lines of an answer and of the interim answers before it.
type heads struct {
	begun   bool   // a byte was read
	final   bool   // the status line of the answer itself was read
	inField bool   // the status line of an interim answer was read, but not the end of its head
	line    []byte // beginning of the current line
}

// check reads the next bytes of an answer.
func (h *heads) check(p []byte) error {
	h.begun = h.begun || len(p) > 0
	for !h.final && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		part := p
		if end >= 0 {
			part = p[:end]
		}
		h.line = append(h.line, part[:min(len(part), maxStatusLine-len(h.line))]...)
		if end < 0 {
			return nil
		}
		p = p[end+1:]
		line := bytes.TrimRight(h.line, "\r")
		h.line = h.line[:0]
		if err := h.endLine(line); err != nil {
			return err
		}
	}
	return nil
}

// endLine handles a line without its line ending.
func (h *heads) endLine(line []byte) error {
	switch {
	case h.inField:
		h.inField = len(line) > 0
		return nil
	case len(line) == 0: // before a status line
		return nil
	}
	status, ok := parseStatus(line)
	if ok && (status < http.StatusContinue || status == http.StatusSwitchingProtocols) {
		return &Error{Status: status}
	}
	h.inField = ok && status < http.StatusOK
	h.final = !h.inField // also if the line is malformed, which the parser of the answer reports
	return nil
}

// parseStatus returns the status of a status line.
func parseStatus(line []byte) (status int, ok bool) {
	fields := bytes.Fields(line)
	if len(fields) < 2 {
		return 0, false
	}
	status, err := strconv.Atoi(string(fields[1]))
	return status, err == nil
}
