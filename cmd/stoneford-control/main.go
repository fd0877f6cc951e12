// Command stoneford-control is the control plane's daemon.
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
	daemon.Main("stoneford-control", "votes on configurations and group states, and decides takeovers",
		func(i do.Injector) (daemon.Service, error) {
			return control.NewProcess(do.MustInvoke[*schema.Boot](i), do.MustInvoke[clockwork.Clock](i))
		}, func(s daemon.Service, b *schema.Boot) { s.(*control.Process).SetTokens(b.Tokens) })
}
