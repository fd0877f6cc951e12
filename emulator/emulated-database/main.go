// Command emulated-database runs one emulated database of a group
// (emulator/databasereplica), which serves the interface in docs/database-interface.md.
package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"stoneford/emulator/databasereplica"
	"stoneford/internal/transport"
)

func main() {
	c := &cli.Command{
		Name: "emulated-database", Usage: "emulates one database of a group",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true},
			&cli.StringFlag{Name: "listen", Required: true},
			&cli.StringFlag{Name: "folder", Required: true},
			&cli.IntFlag{Name: "connections", Value: 65},
			&cli.Int64Flag{Name: "service-us", Value: 1000},
			&cli.Int64Flag{Name: "lag-us"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
			defer stop()
			s, err := databasereplica.NewServer(c.String("name"), rand.Text(), c.String("folder"), c.Int("connections"), transport.LocalAddress(c.String("listen")),
				databasereplica.Faults{ServiceUs: c.Int64("service-us"), LagUs: c.Int64("lag-us")})
			if err != nil {
				return err
			}
			l, err := net.Listen("tcp", c.String("listen"))
			if err != nil {
				return err
			}
			return s.Serve(ctx, l)
		},
	}
	if err := c.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
