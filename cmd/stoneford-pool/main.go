// Command stoneford-pool runs a pool node. If the platform provides a settings file, the
// node serves the platform's interface, otherwise the project's own.
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

// newService returns the pool node that the daemon runs.
func newService(i do.Injector) (daemon.Service, error) {
	return pool.NewProcess(do.MustInvoke[*schema.Boot](i), do.MustInvoke[clockwork.Clock](i)), nil
}

// ignoreChange ignores a changed configuration file. Only the log level, which the daemon
// itself sets, can change while a pool node runs.
func ignoreChange(daemon.Service, *schema.Boot) {}
