// Package standin2 holds the stand-ins of the cases 6 to 8 of the review, a store and backend
// servers, and the drivers of the cases. It uses the standard library only. It is built as a test
// binary, so that its files count as tests: they speak the platform's protocol, whose names belong
// into platform/ elsewhere.
package standin2

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"
)

// TestMain takes the place of main.
func TestMain(*testing.M) {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin2 store|server|case ...")
		os.Exit(2)
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	address := flags.String("address", "", "listen address")
	beat := flags.Duration("heartbeat", time.Second, "time between two beats of a server")
	options := flags.String("options", "", "options of a server in JSON")
	number := flags.Int("number", 0, "number of the case")
	folder := flags.String("folder", ".", "folder of the record")
	_ = flags.Parse(os.Args[2:])
	var err error
	switch os.Args[1] {
	case "store":
		err = http.ListenAndServe(*address, newStore(*beat))
	case "server":
		s := &server{}
		if err = json.Unmarshal([]byte(*options), &s.serverOptions); err == nil {
			err = s.run()
		}
	case "case":
		run := cases[*number]
		if run == nil {
			fmt.Fprintln(os.Stderr, "no such case")
			os.Exit(2)
		}
		f := newFleet(*folder)
		trouble := os.Getenv("TROUBLE") != "0"
		f.note("case %d, trouble %t", *number, trouble)
		broken := run(f, trouble)
		f.note("rule broken: %t", broken)
		f.stopAll()
		fmt.Printf("case %d, trouble %t: rule broken: %t\n", *number, trouble, broken)
		if broken {
			os.Exit(1)
		}
		return
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

// cases holds the drivers by number. They report whether the rule was broken.
var cases = map[int]func(f *fleet, trouble bool) bool{}
