package distribution_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/bench/distribution"
)

// Guards against daemons that never become ready in the simulation, and against figures of a run that did not converge.
func TestRunConverges(t *testing.T) {
	is := is.New(t)
	rep := distribution.Run(distribution.Options{Daemons: 40, Centres: 4, Services: 5, Changes: 2, Kill: 0.1, Seed: 1})
	is.Equal(rep.Start.Ready, 40)
	is.Equal(rep.Return.Ready, 40)
	is.True(rep.Samples >= 22*35) // nearly every daemon shows each of the 22 changes
	is.True(rep.Max < rep.InForceMax+1e9)
	var out bytes.Buffer
	is.NoErr(rep.Print(&out))
	if testing.Verbose() {
		_, _ = os.Stdout.Write(out.Bytes())
	}
}
