package once

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sniperail.example/sniperail/internal/testseed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a second execution or a wrong replay while daemons die and the platform fails.
func TestRunFindsNoSecondExecution(t *testing.T) {
	is := is.New(t)
	config := DefaultConfig(testseed.Seed())
	config.Submissions, config.Identities = 1500, 150
	report, err := Run(t.Context(), config)
	is.NoErr(err)
	is.Equal(report.Submissions, 1500)
	is.Equal(report.Repeated, 0)
	is.Equal(report.WrongReplays, 0)
	is.True(report.Executions > 0)
	t.Logf("%+v", report)
}

// Guards against settings with which a run would submit nothing.
func TestRunRefusesEmptyRuns(t *testing.T) {
	_, err := Run(t.Context(), Config{})
	is.New(t).True(err != nil)
}
