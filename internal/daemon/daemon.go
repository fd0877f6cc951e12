// Package daemon is what the two daemons' mains share: flags, logs as JSON
// lines, the container of services and a stop on SIGTERM.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"
	"github.com/urfave/cli/v3"

	"stoneford/internal/config"
	"stoneford/result"
	"stoneford/schema"
)

// Service is a process's library.
type Service interface{ Run(context.Context) error }

// Main runs a daemon. provide tells the container how the service is made;
// changed is called when the boot file has changed.
func Main(name, usage string, provide func(do.Injector) (Service, error), changed func(Service, *schema.Boot)) {
	c := &cli.Command{Name: name, Usage: usage, Flags: config.Flags(), Action: func(ctx context.Context, c *cli.Command) error {
		b, err := config.Read(c)
		if err != nil {
			return err
		}
		log.SetHandler(jsonlog.New(os.Stderr))
		setLevel(b)
		in := do.New()
		do.ProvideValue(in, b)
		do.ProvideValue[clockwork.Clock](in, clockwork.NewRealClock())
		do.Provide(in, provide)
		s, err := do.Invoke[Service](in)
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
		defer stop()
		go config.Watch(ctx, c, b, func(b *schema.Boot, err error) {
			if err != nil {
				log.WithFields(log.Fields{"code": int(result.ConfigInvalid)}).WithError(err).Error(result.ConfigInvalid.String())
				return
			}
			setLevel(b)
			changed(s, b)
			log.WithFields(log.Fields{"code": int(result.ConfigChanged)}).Info(result.ConfigChanged.String())
		})
		return s.Run(ctx)
	}}
	if err := c.Run(context.Background(), os.Args); err != nil {
		for _, l := range strings.Split(strings.TrimSpace(err.Error()), "\n") {
			fmt.Fprintln(os.Stderr, name+": "+l)
		}
		os.Exit(1)
	}
}

func setLevel(b *schema.Boot) { log.SetLevel(log.MustParseLevel(b.LogLevel)) }
