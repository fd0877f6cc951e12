package config

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"

	"stoneford/schema"
)

// watchInterval is the time between two readings of the file, and so the longest
// that a change goes unnoticed.
const watchInterval = time.Second

// Watch reads the file again and again until the context ends, and calls changed
// with each reading that differs from the one before, or with the error of a file
// that can't be used. known is the reading in force. It compares the text of the
// file and not its time and size, which may stay the same over a change.
func Watch(ctx context.Context, c *cli.Command, known *schema.Boot, changed func(*schema.Boot, error)) {
	path := c.String(fileFlag)
	if path == "" {
		return
	}
	var last []byte
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		if err != nil || bytes.Equal(text, last) {
			continue
		}
		last = text
		boot, err := Read(c)
		if err == nil {
			if proto.Equal(boot, known) {
				continue
			}
			known = boot
		}
		changed(boot, err)
	}
}
