package configfile

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
)

// Guards against examples that are refused, or in which a route whose requests must run at most once has no "once" entry.
func TestExamplesAreAccepted(t *testing.T) {
	cases := map[string][]model.RouteName{
		"most-mladych":   {"placement-confirmation", "family-offer"},
		"granite-ledger": {"ticket-issue", "hydro-record", "flue-entry"},
	}
	directories, err := filepath.Glob("../../examples/*")
	is.New(t).NoErr(err)
	is.New(t).Equal(len(directories), len(cases)) // a new example needs a case
	for _, directory := range directories {
		t.Run(filepath.Base(directory), func(t *testing.T) {
			is := is.New(t)
			files, err := filepath.Glob(filepath.Join(directory, "*.yaml"))
			is.NoErr(err)
			d, err := Load(files, Options{Now: noon, SelfContained: true})
			is.NoErr(err)
			is.Equal(len(d.Change.Services), 4)
			is.Equal(len(d.Intents), 1)
			is.Equal((&model.Configuration{Services: d.Change.Services, Routes: d.Change.Routes}).Validate(), nil)
			var once []model.RouteName
			for _, r := range d.Change.Routes {
				if r.Once != nil {
					once = append(once, r.Name)
				}
			}
			is.Equal(once, cases[filepath.Base(directory)])
		})
	}
}
