package scale

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Usage is what this process used since its start, and holds now.
type Usage struct {
	CPUUs                int64 // user and system, by getrusage
	ReadBytes, ReadCalls int64 // by read and write, sockets included, of /proc/self/io
	WroteBytes, Writes   int64
	HeapBytes            int64 // in use; of now
	StackBytes           int64
	ResidentBytes        int64
	Goroutines           int64
	AtUs                 int64 // NowUs
}

// NowUs is the machine's monotonic time, the same in all its processes.
func NowUs() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err)
	}
	return t.Nano() / 1000
}

// ReadUsage reads it; collect has garbage collected first.
func ReadUsage(collect bool) (Usage, error) {
	u := Usage{AtUs: NowUs(), Goroutines: int64(runtime.NumGoroutine())}
	var r unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &r); err != nil {
		return u, err
	}
	u.CPUUs = r.Utime.Nano()/1000 + r.Stime.Nano()/1000
	io, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return u, err
	}
	u.ReadBytes, u.ReadCalls = number(io, "rchar"), number(io, "syscr")
	u.WroteBytes, u.Writes = number(io, "wchar"), number(io, "syscw")
	if u.ResidentBytes, err = Resident(); err != nil {
		return u, err
	}
	if collect {
		runtime.GC()
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.HeapBytes, u.StackBytes = int64(m.HeapAlloc), int64(m.StackInuse)
	return u, nil
}

// Resident is this process's memory as the kernel counts it. It is read often,
// so from the shortest table that has it.
func Resident() (int64, error) {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0, fmt.Errorf("statm: %q", b)
	}
	n, err := strconv.ParseInt(f[1], 10, 64)
	return n * int64(os.Getpagesize()), err
}

// number is the number behind a name in a table of the kernel's.
func number(table []byte, name string) int64 {
	s := bufio.NewScanner(bytes.NewReader(table))
	for s.Scan() {
		k, v, _ := strings.Cut(s.Text(), ":")
		if k == name {
			f := strings.Fields(v)
			if len(f) == 0 {
				return 0
			}
			n, err := strconv.ParseInt(f[0], 10, 64)
			if err != nil {
				return 0
			}
			return n
		}
	}
	return 0
}
