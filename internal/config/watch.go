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

// watchInterval is the time between two readings of the file, which bounds the time until
// a change is detected.
const watchInterval = time.Second

// Watch reads the file at an interval, and when reload receives a signal, until the context
// ends. It calls changed with each
// configuration that differs from the previous one, at first from current, or with the
// error if the changed file is invalid. It compares the content of the file, since a change
// may leave its time and size the same. Without a file, Watch returns at once.
func Watch(ctx context.Context, c *cli.Command, current *schema.Boot, reload <-chan os.Signal, changed func(*schema.Boot, error)) {
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
		case <-reload:
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		if err != nil || bytes.Equal(text, last) {
			continue
		}
		last = text
		boot, err := Read(c)
		if err == nil {
			if proto.Equal(boot, current) {
				continue
			}
			current = boot
		}
		changed(boot, err)
	}
}
