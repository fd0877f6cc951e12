package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file with everything that the stand-ins saw. Each line begins with the time
// in seconds since the start of the case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// add writes one line. A line that begins with an upper-case word is printed as well.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.started).Seconds(), strings.TrimRight(text, "\r\n"))
	_, _ = r.out.WriteString(line)
	if first, _, _ := strings.Cut(text, " "); first == strings.ToUpper(first) && len(first) > 3 {
		fmt.Print(line)
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
