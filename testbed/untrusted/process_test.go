package untrusted

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"testing"

	"camphorwick.dev/testbed/fleet"
)

// checkProcess checks that a process lives, and that the most memory that it has had resident
// and its open descriptors are below the bounds of the machine.
func checkProcess(t *testing.T, p *fleet.Process, memoryMB int) {
	t.Helper()
	select {
	case <-p.Done():
		t.Fatalf("the process has ended: %v", p.Err())
	default:
	}
	peak, err := peakMemoryKB(p.Pid())
	if err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak memory %d MB of %d, %d descriptors of %d", peak>>10, memoryMB, len(files), maxFiles)
	if peak > memoryMB<<10 {
		t.Errorf("the process had %d KB resident, the machine has %d MB", peak, memoryMB)
	}
	if len(files) >= maxFiles {
		t.Errorf("the process has %d open descriptors, the machine allows %d", len(files), maxFiles)
	}
}

// peakMemoryKB returns the most memory that a process has had resident, in KB.
func peakMemoryKB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := bytes.Cut(status, []byte("VmHWM:"))
	fields := bytes.Fields(after)
	if len(fields) == 0 {
		return 0, fmt.Errorf("the status of process %d has no peak", pid)
	}
	return strconv.Atoi(string(fields[0]))
}

// printLog prints the end of a log file.
func printLog(t *testing.T, name string) {
	t.Helper()
	const maxLines = 25
	data, err := os.ReadFile(name)
	if err != nil {
		t.Log(err)
		return
	}
	lines := bytes.Split(data, []byte("\n"))
	t.Logf("%s", bytes.Join(lines[max(0, len(lines)-maxLines):], []byte("\n")))
}
