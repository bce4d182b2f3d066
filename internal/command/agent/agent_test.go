package agent_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/bench/fleet"
	"sniperail.example/sniperail/internal/model"
	_ "sniperail.example/sniperail/internal/testseed"
)

func startFleet(daemons, centres int) *fleet.Fleet {
	f := fleet.New(rand.New(rand.NewPCG(1, 2)))
	f.AddDaemons(daemons, centres, 4)
	f.Store.Write(fleet.SampleConfiguration(1, 4))
	for _, n := range f.Nodes {
		n.Boot()
	}
	f.Run(15 * time.Second)
	return f
}

// Guards against a tree that leaves a daemon without a parent or without the updates of its parent.
func TestEveryDaemonReceivesChanges(t *testing.T) {
	is := is.New(t)
	f := startFleet(40, 2)
	f.Store.Write(fleet.SampleConfiguration(2, 4))
	f.Run(2 * time.Second)
	for _, n := range f.Nodes {
		is.True(n.View.Ready)
		is.Equal(n.View.Configuration.Number, model.Number(2))
		is.Equal(len(n.View.Targets), len(f.Nodes))
	}
}
