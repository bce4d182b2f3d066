// Command sniperail-bench loads and measures sniperail.
package main

import (
	"github.com/alecthomas/kong"

	"sniperail.example/sniperail/internal/bench/daemons"
	"sniperail.example/sniperail/internal/bench/load"
	"sniperail.example/sniperail/internal/bench/moves"
)

const description = `Loads and measures sniperail. Each experiment runs its baseline beside it.

Example:
  sniperail-bench load --ingress 127.0.0.1:7000 --path /placements/1 --rate 100 --calls 1000

Every flag can also be set by SNIPERAIL_BENCH_ and its name.`

type cli struct {
	Daemons daemons.Command `cmd:"" help:"Memory, processor time, control bytes and convergence of real daemons."`
	Load    load.Command    `cmd:"" help:"Steady load on real daemons that checks every response."`
	Moves   moves.Command   `cmd:"" help:"Many moves of drawn versions under this policy and naive ones."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("sniperail-bench"), kong.Description(description),
		kong.DefaultEnvars("SNIPERAIL_BENCH"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
