// Command testtotals reads the output of "go test -json", prints the output of
// failed tests and the totals, and exits with 1 if a test or package failed, no
// test ran, or the input could not be read.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
)

// maxLineBytes bounds one line of the JSON stream.
const maxLineBytes = 16 << 20

// event is one line of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
	Elapsed float64
}

// testID identifies a test, or a package if test is empty.
type testID struct{ pkg, test string }

// totals counts results and buffers the output of tests and packages that have not
// ended.
type totals struct {
	passed, failed, skipped int
	failedPackages          int
	output                  map[testID][]string
}

func main() {
	t := totals{output: map[testID][]string{}}
	lines := bufio.NewScanner(os.Stdin)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Println(lines.Text())
			continue
		}
		t.add(e)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", t.passed, t.failed, t.skipped)
	if lines.Err() != nil || t.failed+t.failedPackages > 0 || t.passed == 0 {
		os.Exit(1)
	}
}

func (t *totals) add(e event) {
	key := testID{e.Package, e.Test}
	switch e.Action {
	case "output", "build-output":
		t.output[key] = append(t.output[key], e.Output)
	case "pass":
		t.record(key, &t.passed, e)
	case "skip":
		t.record(key, &t.skipped, e)
	case "fail", "build-fail":
		for _, line := range t.output[key] {
			fmt.Print(line)
		}
		t.record(key, &t.failed, e)
	}
}

// record counts the result of a test in counter. For a package it prints the result
// and counts it in failedPackages if it failed; counter is not used.
func (t *totals) record(key testID, counter *int, e event) {
	delete(t.output, key)
	if key.test != "" {
		*counter++
		return
	}
	if e.Action == "fail" || e.Action == "build-fail" {
		t.failedPackages++
	}
	if e.Action == "skip" {
		return // a package without tests
	}
	fmt.Printf("%s\t%s\t%.1fs\n", e.Action, key.pkg, e.Elapsed)
}
