package untrusted

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"camphorwick.dev/settings"
	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
)

// entryMemoryMB is the memory of the machine of an entry. The process learns it from
// GOMEMLIMIT, which the Go runtime knows as well.
const entryMemoryMB = 96

// startEntry starts an entry with one engine and its agent.
func startEntry(t *testing.T) *fleet.Fleet {
	t.Helper()
	t.Setenv("GOMEMLIMIT", fmt.Sprintf("%dMiB", entryMemoryMB))
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Options{Bin: binaries, Dir: t.TempDir(), Entries: 1, Engines: 1, Adjust: func(s *settings.Settings) {
		if s.Entry != nil {
			s.Entry.MaxBodyBytes = largeBody
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)
	return f
}

// checkCompletion sends completions until one is answered, and checks the bounds of the entry
// and the agent.
func checkCompletion(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	c := client.New(f.Entries[0].Settings.Entry.CallersAddress, fleet.CallerKey)
	for deadline := time.Now().Add(answerLimit); ; time.Sleep(100 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		answer, err := c.Complete(ctx, client.Request{Model: "standin", Prompt: strings.Repeat("word ", 200), MaxTokens: 4, TimeoutMS: 4000})
		cancel()
		if err == nil && answer.Status == 200 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("no completion was answered: %v, %v", answer.Status, err)
		}
	}
	checkProcess(t, f.Entries[0].Process, entryMemoryMB)
	checkProcess(t, f.Agents[0].Process, entryMemoryMB)
}

// entryHead returns the head of a completion of the crowd.
func entryHead(headers string) string {
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\n%s\r\n", fleet.CallerKey, headers)
}

// Guards against an entry that ends, or serves nobody else, because of many bodies of legal
// size that stop just short of their ends and stay open, with a length and in chunks, and
// because of connections that send nothing.
func TestEntryUnderHeldConnections(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
	for name, text := range map[string]string{
		"with a length": entryHead(fmt.Sprintf("Content-Length: %d\r\n", largeBody)) + strings.Repeat("x", largeBody-1),
		"in chunks":     entryHead("Transfer-Encoding: chunked\r\n") + strings.Repeat(chunk, largeBody/(64<<10)-1),
		"silent":        "",
	} {
		t.Run(name, func(t *testing.T) {
			f := startEntry(t)
			connect(t, f.Entries[0].Settings.Entry.CallersAddress, crowdSize, func(_ int, c net.Conn) { write(c, text) })
			checkCompletion(t, f)
		})
	}
}
