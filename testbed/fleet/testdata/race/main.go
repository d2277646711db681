// Command race has a data race on purpose. It then fills its log and waits until it
// is killed.
package main

import (
	"fmt"
	"sync"
)

// logLines is the length of the log after the race.
const logLines = 200

func main() {
	var group sync.WaitGroup
	counter := 0
	for range 2 {
		group.Go(func() { counter++ })
	}
	group.Wait()
	for line := range logLines {
		fmt.Println("line", line, "of", logLines, "after", counter)
	}
	fmt.Println("done")
	select {}
}
