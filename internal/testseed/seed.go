// Package testseed fixes the seed of property tests, so that every test run gives the same result. Import it for its side
// effect. The environment variable SNIPERAIL_TEST_SEED selects another seed.
package testseed

import (
	"flag"
	"os"
	"strconv"

	"github.com/pkg/errors"
	_ "pgregory.net/rapid" // registers the flags that are set here
)

// EnvironmentVariable names the variable that overrides the seed.
const EnvironmentVariable = "SNIPERAIL_TEST_SEED"

const defaultSeed = 1

// Seed returns the seed of this test run.
func Seed() uint64 {
	text, ok := os.LookupEnv(EnvironmentVariable)
	if !ok {
		return defaultSeed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		panic(errors.Wrapf(err, "%s must be a whole number", EnvironmentVariable))
	}
	return seed
}

func init() {
	settings := map[string]string{
		"rapid.seed": strconv.FormatUint(Seed(), 10),
		// The result of a run must not depend on failure files that an earlier run wrote.
		"rapid.nofailfile": "true",
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(errors.Wrapf(err, "set flag %s", name))
		}
	}
}
