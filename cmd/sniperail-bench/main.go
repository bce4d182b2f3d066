// Command sniperail-bench loads and measures sniperail.
package main

import (
	"github.com/alecthomas/kong"

	"sniperail.example/sniperail/internal/bench/daemons"
	"sniperail.example/sniperail/internal/bench/distribution"
	"sniperail.example/sniperail/internal/bench/latency"
	"sniperail.example/sniperail/internal/bench/load"
	"sniperail.example/sniperail/internal/bench/moves"
	"sniperail.example/sniperail/internal/bench/once"
	"sniperail.example/sniperail/internal/bench/overload"
	"sniperail.example/sniperail/internal/bench/placement"
	"sniperail.example/sniperail/internal/bench/quota"
	"sniperail.example/sniperail/internal/settings"
)

const description = `Loads and measures sniperail. Each experiment runs its baseline beside it.

Example:
  sniperail-bench moves --customer granite-ledger --runs 200 --seed 1

Every flag can also be set by SNIPERAIL_BENCH_ and its name.`

type cli struct {
	Load         load.Command         `cmd:"" help:"Steady load on real daemons that checks every response."`
	Daemons      daemons.Command      `cmd:"" help:"Memory, processor time, control bytes and convergence of real daemons."`
	Distribution distribution.Command `cmd:"" help:"Convergence, control bytes and platform calls of the real agents over in-memory links, beside two naive designs."`
	Moves        moves.Command        `cmd:"" help:"Many moves of drawn versions under this policy and naive ones."`
	Latency      latency.Command      `cmd:"" help:"Latency and processor time that the two daemons on a call's path add, against direct calls."`
	Overload     overload.Command     `cmd:"" help:"Goodput above capacity, against a naive balancer with blind retries."`
	Quota        quota.Command        `cmd:"" help:"Quotas of tenants over many daemons, against equal shares."`
	Placement    placement.Command    `cmd:"" help:"Calls in time at targets of different speed with the real selection and queues, against correct weights."`
	Once         once.Command         `cmd:"" help:"Executions per identity under kills, lost answers and platform faults."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("sniperail-bench"), kong.Description(description),
		kong.DefaultEnvars("SNIPERAIL_BENCH"), kong.UsageOnError(), kong.Exit(settings.Exit))
	ctx.FatalIfErrorf(ctx.Run())
}
