// Command stoneford-pool is the daemon of a pool node. With the platform's settings it
// serves the platform's interface, otherwise our own.
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
	daemon.Main("stoneford-pool", "serves callers' queries from a shared pool of database connections", newService, ignoreChange)
}

func newService(i do.Injector) (daemon.Service, error) {
	return pool.NewProcess(do.MustInvoke[*schema.Boot](i), do.MustInvoke[clockwork.Clock](i)), nil
}

// ignoreChange takes a changed configuration file: but for the log level, which the
// daemon sets, a pool node has no setting that can change while it runs.
func ignoreChange(daemon.Service, *schema.Boot) {}
