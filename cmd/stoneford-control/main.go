// Command stoneford-control runs a control process. If the platform provides a settings
// file, the process serves the platform's interface, otherwise the project's own.
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

// newService returns the control process that the daemon runs.
func newService(i do.Injector) (daemon.Service, error) {
	return control.NewProcess(do.MustInvoke[*schema.Boot](i), do.MustInvoke[clockwork.Clock](i))
}

// applyChange applies a changed configuration file. Only the partners' tokens and the log
// level can change while a control process runs; the daemon itself sets the log level.
func applyChange(s daemon.Service, boot *schema.Boot) {
	s.(*control.Process).SetTokens(boot.Tokens)
}
