package main

import (
	"bytes"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"sniperail.example/sniperail/internal/api/queries"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/explanation"
	"sniperail.example/sniperail/internal/query/routing"
)

const testKey = "key-of-kola"

// explainSnapshot explains a request on a mesh of four targets.
func explainSnapshot(r explanation.Request) explanation.Explanation {
	view := &model.View{Ready: true, DataCentre: "praha", Region: "cz", Configuration: &model.Configuration{
		Number:   12,
		Services: []model.Service{{Name: "booking", Versions: []model.VersionShare{{Version: "v1", Share: model.FullShare}}}},
		Routes:   []model.Route{{Name: "seats", Service: "booking", Host: "kola.example", PathPrefix: "/seats", TargetLatencyMS: 400}},
		Tenants: []model.Tenant{{Name: "kola", Keys: []model.KeyDigest{model.DigestKey(testKey)}, RatePerSecond: 40, Burst: 80},
			{Name: "other"}},
	}}
	loads := explanation.Loads{}
	for i, state := range []model.TargetState{model.TargetReady, model.TargetReady, model.TargetReady, model.TargetDraining} {
		daemon := model.DaemonID("praha-" + string(rune('1'+i)))
		view.Targets = append(view.Targets, model.Target{Daemon: daemon, Service: "booking", Version: "v1", State: state, Slots: 12,
			DataCentre: "praha", Region: "cz"})
		loads[daemon] = explanation.Load{Running: 4 * i, Queued: i / 2, TargetLoad: routing.TargetLoad{
			Outstanding: float64(9 * i), Slots: 12, ExecutionTime: 90 * time.Millisecond, MeanExecutionTime: 80 * time.Millisecond,
			ReportAge: 35 * time.Millisecond, Fresh: true, Suspect: i == 2}}
	}
	return explanation.Explain(explanation.Snapshot{
		Table: routing.NewTable(view), Loads: func(model.RouteName) explanation.Loads { return loads },
		Confirmation: explanation.Confirmation{Required: true, Serves: true, Known: true, Age: 812 * time.Millisecond},
		IsBrief:      func(time.Duration, time.Duration) bool { return false },
	}, r, rand.NewPCG(1, 2))
}

// Guards against unintended changes of the table and the JSON of an explanation, and against a key that is shown.
func TestExplainRouteMatchesGoldenFiles(t *testing.T) {
	keyFile := filepath.Join(t.TempDir(), "key")
	is.New(t).NoErr(os.WriteFile(keyFile, []byte(testKey+"\n"), 0o600))
	for name, c := range map[string]struct {
		key  string
		args []string
	}{
		"explain-route":         {testKey, nil},
		"explain-route-json":    {"wrong", []string{"-o", "json", "--key-file", keyFile}},
		"explain-route-refused": {"wrong-key", nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(queries.NewRouteExplainer(explainSnapshot))
			defer server.Close()
			t.Setenv("SNIPERAIL_API_KEY", c.key)
			var out bytes.Buffer
			args := append([]string{"explain-route", "/seats/4?day=2", "--host", "kola.example"}, c.args...)
			is.Equal(run(t.Context(), append(args, "--server", server.Listener.Addr().String()), &out, &out), exitDone)
			is.True(!strings.Contains(out.String(), testKey) && !strings.Contains(out.String(), c.key))
			goldie.New(t).Assert(t, name, out.Bytes())
		})
	}
}

// Guards against an error that shows the key.
func TestInvalidKeyIsNotShown(t *testing.T) {
	t.Setenv("SNIPERAIL_API_KEY", "two words")
	var out bytes.Buffer
	is.New(t).Equal(run(t.Context(), []string{"explain-route", "/"}, &out, &out), exitRefused)
	is.New(t).True(!strings.Contains(out.String(), "two"))
}
