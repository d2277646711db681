package main

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// headsMemoryMB and headsFiles are those of the smallest machine of
	// demands/cascade-strand-grown.
	headsMemoryMB = 136
	headsFiles    = 2870
	// headsCallers is the number of callers that hold back the ends of their bodies.
	headsCallers = 800
	// headBytes is just below maxHeaderBytes of the configuration, 16,384.
	headBytes = 15_800
	// headsLength is how long the memory is watched. The requests end after 10 s.
	headsLength = 8 * time.Second
)

// runHeads plays callers whose heads keep within maxHeaderBytes and whose bodies stop one byte
// short of their end. With the disruption the heads consist of many short lines, without it of
// one long line.
func runHeads(l *lab) {
	l.store.put("op/config", config(1))
	l.startServer("i-desk-1", deskService, answerPlain)
	l.startServer("i-llm-1", llmService, answerStream)
	g := l.startGateway(settings{memoryMB: headsMemoryMB, maxFiles: headsFiles})
	l.awaitReady(g)
	time.Sleep(time.Second)
	if r := l.request(g, "GET", lookupPath+"before", 1500*time.Millisecond, nil, ""); r.status != 200 {
		l.end(exitNotRun, "an ordinary request before was answered %d", r.status)
	}
	head := callerHead(l.trouble)
	l.note("each of %d callers sends a head of %d bytes in %d lines, and 99 of 100 bytes of a body", headsCallers, len(head), strings.Count(head, "\r\n"))
	connections := openCallers(g, head)
	l.note("%d connections open", len(connections))
	peak, killed := 0, false
	for end := time.Now().Add(headsLength); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		used := g.memoryKB("RssAnon")
		if used > peak {
			peak = used
			l.note("anonymous memory of the gateway %d KB, all resident memory %d KB", used, g.memoryKB("VmRSS"))
		}
		if used > headsMemoryMB<<10 {
			g.kill()
			killed = true
			l.note("the gateway exceeds memoryMb (%d) and is killed, as the platform does", headsMemoryMB)
			break
		}
	}
	after := l.request(g, "GET", lookupPath+"after", 1500*time.Millisecond, nil, "")
	for _, c := range connections {
		_ = c.Close()
	}
	switch {
	case killed:
		l.end(exitBroken, "the gateway used %d KB of %d MB with %d callers inside the limits, and was killed", peak, headsMemoryMB, headsCallers)
	case !g.running() || after.status != 200:
		l.end(exitBroken, "an ordinary request afterwards was answered %d", after.status)
	}
	l.end(exitHeld, "the gateway used %d KB of %d MB, an ordinary request afterwards was answered", peak, headsMemoryMB)
}

// callerHead returns the head of a request of headBytes bytes.
func callerHead(manyLines bool) string {
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: @ATTEMPT--------@\r\nX-Api-Key: %s\r\nX-Deadline-Ms: 10000\r\n"+
		"X-Model: m\r\nX-Token-Usage: 5000,400\r\nX-Prompt-Prefix: 5c1e07a2:40,91bd3f06:4960\r\nContent-Length: 100\r\n", streamPath, host, tenantKey)
	if !manyLines {
		head.WriteString("X-Padding: " + strings.Repeat("x", headBytes-head.Len()-len("X-Padding: \r\n\r\n")) + "\r\n")
	}
	const firstName = 36 * 36 // the first number of three digits
	for i := firstName; manyLines && head.Len() < headBytes; i++ {
		head.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	head.WriteString("\r\n")
	return head.String()
}

// openCallers opens the connections of the callers and sends on each a head and a part of a body.
func openCallers(g *gateway, head string) []net.Conn {
	var mu sync.Mutex
	var connections []net.Conn
	var group sync.WaitGroup
	for range headsCallers {
		group.Add(1)
		go func() {
			defer group.Done()
			c, err := net.Dial("tcp", g.callers)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, strings.Replace(head, "@ATTEMPT--------@", newAttempt(), 1)+strings.Repeat("b", 99))
			mu.Lock()
			defer mu.Unlock()
			connections = append(connections, c)
		}()
	}
	group.Wait()
	return connections
}
