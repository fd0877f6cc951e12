package platform

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/jonboulle/clockwork"

	"stoneford/internal/ports"
	"stoneford/internal/sessionpool"
	"stoneford/internal/sessiontable"
	"stoneford/internal/signals"
	"stoneford/result"
)

const (
	// reservedFDs is the number of file descriptors that callers' connections may not use.
	reservedFDs = 800
	gcPercent   = 100
)

// process is implemented by pool nodes and control processes.
type process interface {
	UpdateConfig(ports.ProcessConfig)
	Run(context.Context) error
}

// services combines a process with the API that it serves; serveAPI is nil if it serves none.
type services struct {
	process
	serveAPI func(context.Context) error
}

// RunPool runs a pool node until it receives SIGTERM or SIGINT.
func RunPool() error {
	return run("stoneford-pool", func(config ports.ProcessConfig) (services, error) { return poolServices(config), nil })
}

func poolServices(config ports.ProcessConfig) services {
	return services{process: sessionpool.NewProcess(config, clockwork.NewRealClock(), sessionpool.Adapters{
		Frontend:  Frontend{Address: config.CallerAddress, MaxConnections: int(max(config.FileDescriptors-reservedFDs, 0))},
		Readiness: ReadinessServer{Address: config.ReadinessAddress},
		Dialer:    NewDatabaseDialer(config.IP, config.Name),
	}, sessiontable.Options{})}
}

// RunControl runs a control process until it receives SIGTERM or SIGINT.
func RunControl(newControl ports.NewControl) error {
	return run("stoneford-control", func(config ports.ProcessConfig) (services, error) { return controlServices(config, newControl) })
}

func controlServices(config ports.ProcessConfig, newControl ports.NewControl) (services, error) {
	p, err := newControl(config, NewDatabaseClient(NewDatabaseDialer(config.IP, config.Name)), NewProvider(config.IP, config.ProviderAddress))
	return services{process: p, serveAPI: func(ctx context.Context) error { return ServeControl(ctx, config.ControlAddress, p) }}, err
}

// run reads the settings, and creates and runs the process that they configure.
func run(name string, newServices func(ports.ProcessConfig) (services, error)) error {
	handlers := signals.Install()
	ctx, path := handlers.Stopped, SettingsPath()
	watcher := NewConfigWatcher(path, handlers.Reload)
	log.SetHandler(jsonlog.New(os.Stderr))
	config, errs := ReadConfig(path)
	if len(errs) > 0 {
		return fmt.Errorf("%s: %s: %w", name, path, errors.Join(errs...))
	}
	applyLimits(config)
	p, err := newServices(config)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	go watcher.Run(ctx, func(config ports.ProcessConfig, errs []error) { configChanged(p, config, errs) })
	return p.runAll(ctx)
}

// runAll runs the process and its API until the context is cancelled or one of the two
// ends.
func (p services) runAll(ctx context.Context) error {
	if p.serveAPI == nil {
		return p.Run(ctx)
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	apiDone := runAsync(func() error { return p.serveAPI(ctx) })
	processDone := runAsync(func() error { return p.Run(ctx) })
	select {
	case err := <-apiDone:
		end()
		return errors.Join(err, <-processDone)
	case err := <-processDone:
		end()
		return errors.Join(err, <-apiDone)
	}
}

func runAsync(f func() error) <-chan error {
	ch := make(chan error, 1)
	go func() { ch <- f() }()
	return ch
}

// applyLimits configures the Go runtime for a small machine with one core.
func applyLimits(config ports.ProcessConfig) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if config.MemoryMB > 0 {
		debug.SetMemoryLimit(config.MemoryMB << 20 * 6 / 10)
	}
}

// configChanged passes changed settings to the process unless they are invalid, and logs
// either result.
func configChanged(p process, config ports.ProcessConfig, errs []error) {
	if len(errs) > 0 {
		log.WithFields(log.Fields{"code": int(result.ConfigInvalid)}).WithError(errors.Join(errs...)).Error(result.ConfigInvalid.String())
		return
	}
	p.UpdateConfig(config)
	log.WithFields(log.Fields{"code": int(result.ConfigChanged)}).Info(result.ConfigChanged.String())
}
