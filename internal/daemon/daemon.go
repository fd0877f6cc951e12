// Package daemon implements what the main functions of the daemons have in common: it
// parses the command line, logs in JSON lines, creates the service in a dependency
// injection container, watches the configuration file, reads it again at SIGHUP
// and stops at SIGTERM.
package daemon

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"
	"github.com/urfave/cli/v3"

	"stoneford/internal/config"
	"stoneford/internal/signals"
	"stoneford/result"
	"stoneford/schema"
)

// Service is the service that a daemon runs. Run serves until the context ends, then shuts
// down gracefully and returns the errors that occurred, if any.
type Service interface{ Run(context.Context) error }

// Main runs a daemon and exits with status 1 if that fails. provide creates the service
// from the configuration and the clock in the container. changed is called with each
// configuration that is read from the changed file while the service runs.
func Main(name, usage string, provide func(do.Injector) (Service, error), changed func(Service, *schema.Boot)) {
	handlers := signals.Install()
	command := &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: config.Flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c, handlers.Reload, provide, changed)
		},
	}
	if err := command.Run(handlers.Stopped, os.Args); err != nil {
		for _, line := range strings.Split(strings.TrimSpace(err.Error()), "\n") {
			fmt.Fprintln(os.Stderr, name+": "+line)
		}
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command, reload <-chan os.Signal, provide func(do.Injector) (Service, error), changed func(Service, *schema.Boot)) error {
	boot, err := config.Read(c)
	if err != nil {
		return err
	}
	log.SetHandler(jsonlog.New(os.Stderr))
	setLogLevel(boot)
	service, err := newService(boot, provide)
	if err != nil {
		return err
	}
	go config.Watch(ctx, c, boot, reload, func(boot *schema.Boot, err error) {
		if err != nil {
			log.WithFields(log.Fields{"code": int(result.ConfigInvalid)}).WithError(err).Error(result.ConfigInvalid.String())
			return
		}
		setLogLevel(boot)
		changed(service, boot)
		log.WithFields(log.Fields{"code": int(result.ConfigChanged)}).Info(result.ConfigChanged.String())
	})
	return service.Run(ctx)
}

// newService creates the service in a new container that provides the configuration and
// the clock.
func newService(boot *schema.Boot, provide func(do.Injector) (Service, error)) (Service, error) {
	container := do.New()
	do.ProvideValue(container, boot)
	do.ProvideValue[clockwork.Clock](container, clockwork.NewRealClock())
	do.Provide(container, provide)
	return do.Invoke[Service](container)
}

// setLogLevel sets the log level of the configuration. The check of the configuration
// guarantees that the level exists.
func setLogLevel(boot *schema.Boot) { log.SetLevel(log.MustParseLevel(boot.LogLevel)) }
