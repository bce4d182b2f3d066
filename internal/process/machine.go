package process

import (
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// unknownMemory is assumed if the system does not say how much memory there is.
const unknownMemory = 1 << 30

// MachineMemory returns the memory in bytes that this process may use: that of its control group or, if that is not limited, of the
// machine.
func MachineMemory() int64 {
	memory := int64(unknownMemory)
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		memory = int64(info.Totalram) * int64(info.Unit)
	}
	for _, path := range [...]string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"} {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && limit > 0 {
			memory = min(memory, limit)
		}
	}
	return memory
}

// unknownDescriptors is assumed if the system does not say how many file descriptors the process may have.
const unknownDescriptors = 1024

// Descriptors returns the number of file descriptors that this process may have.
func Descriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return unknownDescriptors
	}
	return int(min(limit.Cur, 1<<24)) // a process without a limit has fewer
}
