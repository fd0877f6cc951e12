package platform

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"stoneford/internal/ports"
)

// watchInterval is how often the settings file is read. A longer one delays changes without
// a signal.
const watchInterval = 2 * time.Second

// ConfigWatcher watches the settings file for changes.
type ConfigWatcher struct {
	path    string
	current []byte
	hup     chan os.Signal
}

// NewConfigWatcher starts from the file as it is now. From here on SIGHUP no longer ends the
// process.
func NewConfigWatcher(path string) *ConfigWatcher {
	watcher := &ConfigWatcher{path: path, hup: make(chan os.Signal, 1)}
	signal.Notify(watcher.hup, syscall.SIGHUP)
	watcher.current, _ = os.ReadFile(path)
	return watcher
}

// Run calls changed with each new content until the context ends: at SIGHUP, and without it
// when the file's content differs, since its time and size can stay the same over a change.
func (w *ConfigWatcher) Run(ctx context.Context, changed func(ports.ProcessConfig, []error)) {
	defer signal.Stop(w.hup)
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hup:
		case <-t.C:
		}
		w.reload(changed)
	}
}

// reload calls changed if the file's content differs.
func (w *ConfigWatcher) reload(changed func(ports.ProcessConfig, []error)) {
	text, err := os.ReadFile(w.path)
	if err != nil || bytes.Equal(text, w.current) {
		return
	}
	w.current = text
	changed(parseConfig(text))
}
