// Command stoneford-control is the daemon of a control process. With the platform's
// settings it serves the platform's interface, otherwise our own.
package main

import (
	"fmt"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"

	"stoneford/internal/control"
	"stoneford/internal/coordinator"
	"stoneford/internal/daemon"
	"stoneford/internal/platform"
	"stoneford/schema"
)

func main() {
	if platform.SettingsPath() != "" {
		if err := platform.RunControl(coordinator.NewProcess); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	daemon.Main("stoneford-control", "votes on configurations and group states, and decides takeovers", newService, applyChange)
}

func newService(i do.Injector) (daemon.Service, error) {
	return control.NewProcess(do.MustInvoke[*schema.Boot](i), do.MustInvoke[clockwork.Clock](i))
}

// applyChange takes a changed configuration file: beside the log level, which the daemon
// sets, only the partners' tokens can change while a control process runs.
func applyChange(s daemon.Service, boot *schema.Boot) {
	s.(*control.Process).SetTokens(boot.Tokens)
}
