// Package machine tells how much memory and how many descriptors a process may use, and what
// part of them its callers may hold.
package machine

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"syscall"

	"camphorwick.dev/policy/footprint"
)

const (
	bytesPerMB = 1 << 20
	// memoryLimitShare is the share of the memory that is set as the Go runtime's soft
	// limit, above which the garbage collector runs more often.
	memoryLimitShare = 0.6
	// connectionShare is the share of the memory for connections of callers, of which each
	// takes up to connectionBytes with its buffers, stacks and head.
	connectionShare = 0.2
	connectionBytes = 32 << 10
	// descriptorShare is the share of the descriptors for connections of callers, beyond
	// reservedDescriptors for files. The others are for connections to servers and peers.
	descriptorShare     = 0.5
	reservedDescriptors = 200
	// minConnections is the least number of connections that callers may have, whatever
	// the machine is.
	minConnections = 32
)

// Machine is what a process may use.
type Machine struct {
	Memory int64 // bytes
	Files  int   // descriptors; 0 if not known
}

// Of returns the machine of this process. memoryMB and files come from the settings; 0 means
// not stated. Then the memory is that of GOMEMLIMIT, or all that the machine has, and the
// descriptors are those that the kernel allows.
func Of(memoryMB, files int) Machine {
	m := Machine{Memory: int64(memoryMB) * bytesPerMB, Files: files}
	if m.Memory == 0 {
		if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
			m.Memory = limit
		} else {
			m.Memory = totalMemory()
		}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		if m.Files == 0 || int(limit.Cur) < m.Files {
			m.Files = int(limit.Cur)
		}
	}
	return m
}

// assumedMemory is the memory of a machine that does not tell it.
const assumedMemory = 256 * bytesPerMB

// totalMemory returns the memory of the machine in bytes.
func totalMemory() int64 {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return assumedMemory
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var kilobytes int64
		if n, _ := fmt.Sscanf(lines.Text(), "MemTotal: %d kB", &kilobytes); n == 1 && kilobytes > 0 {
			return kilobytes << 10
		}
	}
	return assumedMemory
}

// LimitHeap sets the soft limit of the Go runtime.
func (m Machine) LimitHeap() { debug.SetMemoryLimit(int64(float64(m.Memory) * memoryLimitShare)) }

// CallerLimits returns the bounds on what is held for callers. bodyShare is the share of the
// memory for the bodies of their requests, smallBodyShare that for small ones besides.
func (m Machine) CallerLimits(bodyShare, smallBodyShare float64) footprint.Limits {
	memory := float64(m.Memory)
	connections := memory * connectionShare / connectionBytes
	if m.Files > 0 {
		connections = min(connections, float64(m.Files-reservedDescriptors)*descriptorShare)
	}
	return footprint.Limits{Holders: max(int(connections), minConnections), Bytes: int64(memory * bodyShare), SmallBytes: int64(memory * smallBodyShare)}
}
