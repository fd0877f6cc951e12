// Command standin-platform runs the platform's stand-in.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"stoneford/standin/platform"
)

func main() {
	c := &cli.Command{
		Name: "standin-platform", Usage: "stand-in for the platform: ready nodes and takeovers",
		Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Required: true}, &cli.StringFlag{Name: "nodes", Usage: "callers' addresses of the pool nodes, separated by commas"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
			defer stop()
			l, err := net.Listen("tcp", c.String("listen"))
			if err != nil {
				return err
			}
			var ns []string
			if c.String("nodes") != "" {
				ns = strings.Split(c.String("nodes"), ",")
			}
			return platform.New(ns).Serve(ctx, l)
		},
	}
	if err := c.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
