// Command stoneford-control is the control plane's daemon.
package main

import (
	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"

	"stoneford/control"
	"stoneford/daemon"
	"stoneford/schema"
)

func main() {
	daemon.Main("stoneford-control", "votes on configurations and group states, and decides takeovers",
		func(i do.Injector) (daemon.Service, error) {
			return control.NewProcess(do.MustInvoke[*schema.Boot](i), do.MustInvoke[clockwork.Clock](i))
		}, func(s daemon.Service, b *schema.Boot) { s.(*control.Process).SetTokens(b.Tokens) })
}
