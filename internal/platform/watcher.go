package platform

import (
	"bytes"
	"context"
	"os"
	"time"

	"stoneford/internal/ports"
)

// watchInterval is the time between two reads of the settings file. A longer interval delays
// changes that are made without SIGHUP.
const watchInterval = 2 * time.Second

// ConfigWatcher watches the settings file for changes.
type ConfigWatcher struct {
	path    string
	current []byte
	reload  <-chan os.Signal
}

// NewConfigWatcher returns a watcher that detects changes relative to the file's current
// content. It reads the file at once when reload receives a signal.
func NewConfigWatcher(path string, reload <-chan os.Signal) *ConfigWatcher {
	watcher := &ConfigWatcher{path: path, reload: reload}
	watcher.current, _ = os.ReadFile(path)
	return watcher
}

// Run reads the file at a reload signal and every watchInterval until the context is cancelled, and
// calls changed whenever its content differs. It compares the content, since a change may
// leave the file's modification time and size the same.
func (w *ConfigWatcher) Run(ctx context.Context, changed func(ports.ProcessConfig, []error)) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.reload:
		case <-t.C:
		}
		w.readFile(changed)
	}
}

// readFile reads the file, and calls changed if its content differs from the last one.
func (w *ConfigWatcher) readFile(changed func(ports.ProcessConfig, []error)) {
	text, err := os.ReadFile(w.path)
	if err != nil || bytes.Equal(text, w.current) {
		return
	}
	w.current = text
	changed(parseConfig(text))
}
