// Command stoneford-pool is the data plane's daemon.
package main

import (
	"fmt"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"

	"stoneford/internal/daemon"
	"stoneford/internal/platform"
	"stoneford/internal/pool"
	"stoneford/schema"
)

func main() {
	if platform.SettingsPath() != "" {
		if err := platform.RunPool(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	daemon.Main("stoneford-pool", "serves callers' queries from a shared pool of database connections",
		func(i do.Injector) (daemon.Service, error) {
			return pool.NewProcess(do.MustInvoke[*schema.Boot](i), do.MustInvoke[clockwork.Clock](i)), nil
		}, func(daemon.Service, *schema.Boot) {})
}
