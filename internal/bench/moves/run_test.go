package moves

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/matryer/is"
)

// Guards against figures that depend on the order of goroutines: the same seed must give the same result.
func TestRunIsTheSameForTheSameSeed(t *testing.T) {
	is := is.New(t)
	options := Options{Customer: "granite-ledger", Seed: 3, Runs: 24, Workers: 1}
	first, err := Run(options)
	is.NoErr(err)
	options.Workers = 4
	second, err := Run(options)
	is.NoErr(err)
	is.Equal(cmp.Diff(first, second, cmpopts.EquateNaNs()), "")
}

// Guards against a mistyped name that silently measures another customer or policy.
func TestRunRefusesUnknownNames(t *testing.T) {
	is := is.New(t)
	_, err := Run(Options{Customer: "nobody", Runs: 1})
	is.True(err != nil)
	_, err = Run(Options{Customer: "granite-ledger", Runs: 1, Policies: []string{"none"}})
	is.True(err != nil)
}

// Guards against a report that cannot be written as JSON: good versions have no exposure.
func TestReportIsValidJSON(t *testing.T) {
	is := is.New(t)
	report, err := Run(Options{Customer: "granite-ledger", Seed: 1, Runs: 2, Policies: []string{PolicyRamp}})
	is.NoErr(err)
	_, err = json.Marshal(report)
	is.NoErr(err)
}

// Guards against a simulation that protects callers by itself: the ramp judges nothing, so it must expose callers to bad
// versions.
func TestTimeOnlyRampExposesCallers(t *testing.T) {
	is := is.New(t)
	report, err := Run(Options{Customer: "most-mladych", Seed: 1, Runs: 24, Policies: []string{PolicyRamp, PolicySequential}})
	is.NoErr(err)
	is.True(report.Policies[0].Kind(AllBad).Exposure.Value > 10)
	is.True(report.Policies[1].Kind(AllBad).Exposure.Value < 3)
	is.Equal(report.Policies[0].Kind(AllBad).Withdrawn.Value, 0.0)
}
