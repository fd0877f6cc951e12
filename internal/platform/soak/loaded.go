package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// isLoaded reports whether a process's program is loaded: its runtime has started threads.
func isLoaded(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false // the process has ended
	}
	for line := range strings.Lines(string(status)) {
		if count, found := strings.CutPrefix(line, "Threads:"); found {
			threads, err := strconv.Atoi(strings.TrimSpace(count))
			return err == nil && threads > 1
		}
	}
	return false
}
