// Package signals handles the signals that the platform sends to a daemon. A signal whose
// handler was removed has its default action again, which ends the process, so the handlers
// are installed first of all and stay until the process has ended, also during a shutdown
// and for signals that are repeated.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Handlers are the installed handlers.
type Handlers struct {
	// Stopped is cancelled by the first SIGTERM or SIGINT. Further ones have no effect.
	Stopped context.Context
	// Reload receives a SIGHUP. One that arrives while another is not received yet has no
	// effect of its own.
	Reload <-chan os.Signal
}

// Install installs the handlers until the process ends. A daemon calls it once,
// before anything else.
func Install() Handlers {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.Signal(reloadSignal))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	stopped, cancel := context.WithCancel(context.Background())
	go func() {
		<-stop
		cancel()
	}()
	return Handlers{Stopped: stopped, Reload: reload}
}
