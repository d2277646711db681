// Command demo starts a small fleet of separate processes, sends a short prompt
// while a long one is in flight, then an order twice, and checks every answer.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"camphorwick.dev/standin/enginesim"
	"camphorwick.dev/standin/process"
	"camphorwick.dev/testbed/client"
	"camphorwick.dev/testbed/fleet"
)

const (
	shortTokens   = 1_000
	longTokens    = 300_000
	bytesPerToken = 4
	answerTokens  = 64
	runTimeout    = 2 * time.Minute
)

// errUnexpectedResult is returned for a result that differs from the expected one.
var errUnexpectedResult = errors.New("unexpected result")

// options are the flags.
type options struct {
	Bin string `long:"bin" default:"bin" description:"folder with the binaries"`
}

func main() {
	var o options
	process.ParseFlags(&o)
	if err := run(o.Bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	fmt.Println("demo: all results are as expected")
}

func run(bin string) error {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "camphorwick-demo-")
	if err != nil {
		return fmt.Errorf("create temporary directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.Start(ctx, fleet.Options{Bin: bin, Dir: dir, Entries: 2, Engines: 2, Orders: 1,
		DataCentres: []string{"dc-1", "dc-2"}})
	if err != nil {
		return err
	}
	defer f.Kill()
	fmt.Printf("started: platform, %d engines, %d order service, %d agents, %d entries\n",
		len(f.Engines), len(f.Orders), len(f.Agents), len(f.Entries))
	if err := sendPrompts(ctx, f); err != nil {
		return err
	}
	if err := sendOrders(ctx, f); err != nil {
		return err
	}
	if err := f.Stop(); err != nil {
		return fmt.Errorf("stop the fleet: %w", err)
	}
	fmt.Println("stopped: all agents and entries exited without error")
	return nil
}

// sendPrompts sends the long prompt through one entry and, while it is in flight,
// the short one through the other.
func sendPrompts(ctx context.Context, f *fleet.Fleet) error {
	var group errgroup.Group
	group.Go(func() error { return complete(ctx, f, 0, "long prompt", longTokens) })
	group.Go(func() error {
		time.Sleep(300 * time.Millisecond)
		return complete(ctx, f, 1, "short prompt", shortTokens)
	})
	return group.Wait()
}

func complete(ctx context.Context, f *fleet.Fleet, entry int, name string, tokens int) error {
	prompt := promptText(name, tokens)
	c := client.New(f.Entries[entry].Settings.Entry.CallersAddress, fleet.CallerKey)
	a, err := c.Complete(ctx, client.Request{Model: "standin", Prompt: prompt, MaxTokens: answerTokens, Stream: true})
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	fmt.Printf("%-13s %7d tokens  outcome %-10s first token %6.0f ms  complete answer %6.0f ms  trace %s\n", name, tokens,
		a.Outcome, a.FirstToken.Seconds()*1000, a.Duration.Seconds()*1000, a.TraceID)
	texts, _ := enginesim.Answer([]byte(prompt), answerTokens, 0)
	if a.Outcome != "completed" || a.Text != strings.Join(texts, "") {
		return fmt.Errorf("%s: %w: outcome %q (error %q), expected \"completed\" with the text of the stand-in engine", name, errUnexpectedResult, a.Outcome, a.Message)
	}
	return nil
}

// promptText returns a prompt of the given length that starts with name.
func promptText(name string, tokens int) string {
	text := name + " " + strings.Repeat("coating ", tokens*bytesPerToken/8+1)
	return text[:tokens*bytesPerToken]
}

// sendOrders sends one order twice with the same key; it must run once.
func sendOrders(ctx context.Context, f *fleet.Fleet) error {
	key, err := uuid.NewV7()
	if err != nil {
		return fmt.Errorf("create order key: %w", err)
	}
	var bodies []string
	for i := range 2 {
		c := client.New(f.Entries[i].Settings.Entry.CallersAddress, fleet.CallerKey)
		a, err := c.Order(ctx, "/v1/services/orders/coils", key.String(), []byte(`{"coils":1}`))
		if err != nil {
			return fmt.Errorf("send order: %w", err)
		}
		fmt.Printf("order, call %d  outcome %-10s status %d  recorded %-5v  trace %s\n", i+1, a.Outcome, a.Status, a.Recorded, a.TraceID)
		if a.Outcome != "completed" || a.Recorded != (i == 1) {
			return fmt.Errorf("order: %w: outcome %q (error %q: %q), expected \"completed\", and recorded in call 2 only", errUnexpectedResult, a.Outcome, a.Code, a.Message)
		}
		bodies = append(bodies, a.Text)
	}
	if bodies[0] != bodies[1] {
		return fmt.Errorf("order: %w: the second call got a different answer", errUnexpectedResult)
	}
	var runs map[string]any
	if err := f.Stats(f.Orders[0], "/runs", &runs); err != nil {
		return fmt.Errorf("read runs of the order service: %w", err)
	}
	fmt.Printf("order service: %v\n", runs)
	return nil
}
