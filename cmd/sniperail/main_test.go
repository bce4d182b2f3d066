package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"sniperail.example/sniperail/internal/api"
	"sniperail.example/sniperail/internal/command/configuration"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

var at = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// backend is a Submitter and a Reader with fixed answers. Each read of the configuration returns the next one in the list,
// and at the end the last one again.
type backend struct {
	outcome        model.Outcome
	commands       []configuration.Command
	configurations []*model.Configuration
	status         *message.StatusReply
}

func (b *backend) Submit(_ context.Context, _ string, command configuration.Command) model.Outcome {
	b.commands = append(b.commands, command)
	return b.outcome
}

func (b *backend) Configuration(context.Context) (*model.Configuration, bool) {
	c := b.configurations[0]
	if len(b.configurations) > 1 {
		b.configurations = b.configurations[1:]
	}
	return c, true
}

func (b *backend) Plans(context.Context) ([]model.Plan, bool) {
	return []model.Plan{plan, changePlan}, true
}

func (b *backend) Status(context.Context) (*message.StatusReply, bool) {
	return b.status, b.status != nil
}

var (
	plan = model.Plan{
		ID: "p-1", Base: 6, Intent: model.Intent{Service: "placements", To: "v2", By: at.Add(time.Hour), WatchSeconds: 60},
		From: "v1", Steps: []model.Step{{Share: 100, Earliest: at}, {Share: 10_000, Earliest: at.Add(time.Minute), MinCalls: 200}},
		Routes: []model.RouteName{"placement-lookup"}, Daemons: []model.DaemonID{"a", "b"},
		WithdrawnIf: []string{"errors of v2 exceed those of v1"}, Feasible: true, Latest: at.Add(10 * time.Minute), By: "jana", At: at,
	}
	changePlan = model.Plan{ID: "p-0", Base: 1, Change: &model.Change{Services: []model.Service{{Name: "placements"}},
		Routes: []model.Route{{Name: "r", PathPrefix: "/placements", Service: "placements"}}}, By: "petr", At: at.Add(-time.Hour)}
)

// configurationWithMove returns a configuration with one move in the given state.
func configurationWithMove(phase model.Phase, step int, share model.Share, reason string) *model.Configuration {
	return &model.Configuration{
		Number: 7, LastEvent: 4, Events: []model.MoveEvent{{Token: 4, At: at, Kind: model.EventStep, Move: "p-1",
			Service: "placements", Version: "v2", Share: share, Number: 7, By: "driver"}},
		Services: []model.Service{{Name: "placements", Customer: "most-mladych", Changed: 7,
			Versions: []model.VersionShare{{Version: "v1", Share: model.FullShare - share}, {Version: "v2", Share: share}}}},
		Moves: []model.Move{{ID: "p-1", Service: "placements", From: "v1", To: "v2", Steps: plan.Steps, Step: step, Phase: phase,
			Deadline: at.Add(time.Hour), Since: at, Number: 7, Reason: reason}},
	}
}

func newBackend() *backend {
	return &backend{
		outcome:        model.Outcome{Code: model.OutcomeApplied, Number: 7, Plans: []model.Plan{changePlan, plan}},
		configurations: []*model.Configuration{configurationWithMove(model.PhaseRunning, 0, 100, "")},
		status: &message.StatusReply{DataCentre: "praha", Leader: "10.0.0.1:7300", Term: 3, At: at,
			InForce: model.InForce{Number: 6, Live: 2, Blind: []model.DataCentre{"brno"},
				Silent:   []model.SilentDaemon{{Daemon: "c", DataCentre: "ostrava", Since: at}},
				Refusals: []model.Refusal{{Daemon: "b", Number: 7, Reason: "service \"x\" does not exist"}}},
			Targets: []model.Target{
				{Daemon: "a", Service: "placements", Version: "v1", DataCentre: "praha", Region: "cz-central", State: model.TargetReady,
					Since: at, Slots: 12, Connections: 130, Address: "10.0.0.1:7200"},
				{Daemon: "b", Service: "placements", Version: "v2", DataCentre: "praha", Region: "cz-central", State: model.TargetStarting,
					Since: at, Slots: 12, Connections: 130, Address: "10.0.0.2:7200"}},
			Marks: []model.Mark{{VersionRef: model.VersionRef{Service: "placements", Version: "v2"}, Move: "p-1", By: "a", Reason: "errors", At: at}}},
	}
}

// runAgainst runs the program against a backend and returns its output and exit code.
func runAgainst(t *testing.T, b *backend, args ...string) (output string, code int) {
	t.Helper()
	server := httptest.NewServer(api.New(api.Options{Submitter: b, Reader: b}))
	defer server.Close()
	var out bytes.Buffer
	code = run(t.Context(), append(args, "--server", server.Listener.Addr().String()), &out, &out)
	return strings.ReplaceAll(out.String(), server.Listener.Addr().String(), "SERVER"), code
}

func moveFile(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "move.yaml")
	is.New(t).NoErr(os.WriteFile(path, []byte("moves: [{service: placements, to: v2, in: 1h}]"), 0o600))
	return path
}

// Guards against unintended changes of the tables that people read and of the JSON that programs read.
func TestOutputMatchesGoldenFiles(t *testing.T) {
	cases := map[string][]string{
		"get-moves": {"get", "moves"}, "get-plans": {"get", "plans"}, "get-versions": {"get", "versions"},
		"get-daemons": {"get", "daemons"}, "get-targets": {"get", "targets"}, "get-status": {"get", "status"},
		"get-moves-json": {"get", "moves", "-o", "json"}, "events": {"events", "--after", "1"},
		"declare": {"declare", "-f", moveFile(t)}, "confirm": {"confirm", "p-1"}, "help": {"--help"},
	}
	for name, args := range cases {
		t.Run(name, func(t *testing.T) {
			output, code := runAgainst(t, newBackend(), args...)
			is.New(t).Equal(code, exitDone)
			goldie.New(t).Assert(t, name, []byte(output))
		})
	}
}

// Each case guards against a wrong exit code, on which a script would continue or stop by mistake.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		code model.OutcomeCode
		args []string
		want int
		text string
	}{
		{"refused as a conflict", model.OutcomeConflict, []string{"confirm", "p-1"}, exitRefused, "conflict (executed: no)"},
		{"platform unavailable", model.OutcomeUnavailable, []string{"confirm", "p-1"}, exitUnreachable, "unavailable (executed: no)"},
		{"outcome unknown", model.OutcomeUnknown, []string{"confirm", "p-1"}, exitUnreachable, "unknown (executed: unknown)"},
		{"refused for a program", model.OutcomeConflict, []string{"confirm", "p-1", "-o", "json"}, exitRefused, `"reason":"conflict","executed":"no"`},
		{"unknown verb", "", []string{"destroy"}, exitUsage, "unexpected argument destroy"},
		{"unknown report", "", []string{"get", "secrets"}, exitUsage, "must be one of"},
		{"wrong flags", "", []string{"get", "moves", "-o", "xml", "--timeout", "0s"}, exitUsage, "--timeout"},
		{"withdrawal without a reason", "", []string{"withdraw", "p-1"}, exitUsage, "--reason"},
		{"file that does not exist", "", []string{"declare", "-f", "missing.yaml"}, exitRefused, "missing.yaml: open missing.yaml"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBackend()
			b.outcome = model.Refused(c.code, "plan", "why")
			output, code := runAgainst(t, b, c.args...)
			is.Equal(code, c.want)
			if !strings.Contains(output, c.text) {
				t.Errorf("got %q, want %q", output, c.text)
			}
		})
	}
}

// Guards against a watch that returns before the move has ended, or that reports a withdrawn move as done.
func TestWatchReturnsWhenTheMoveEnds(t *testing.T) {
	for phase, want := range map[model.Phase]int{model.PhaseDone: exitDone, model.PhaseWithdrawn: exitRefused} {
		t.Run(string(phase), func(t *testing.T) {
			b := newBackend()
			last := configurationWithMove(phase, 1, 10_000, "")
			if phase == model.PhaseWithdrawn {
				last = configurationWithMove(phase, 0, 0, "errors")
			}
			running := configurationWithMove(model.PhaseRunning, -1, 0, "")
			b.configurations = []*model.Configuration{running, running, configurationWithMove(model.PhaseRunning, 0, 100, ""), last}
			output, code := runAgainst(t, b, "watch", "p-1", "--interval", "10ms")
			is.New(t).Equal(code, want)
			goldie.New(t).Assert(t, fmt.Sprintf("watch-%s", phase), []byte(output))
		})
	}
}

// Guards against a command that is sent to a second server although the first may have executed it, against a command that
// is not sent to the second server although the first has certainly not executed it, and against a query that is not
// repeated there.
func TestCommandOnSeveralServers(t *testing.T) {
	dropping := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer dropping.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	closed := listener.Addr().String()
	is.New(t).NoErr(listener.Close())
	cases := []struct {
		name, first string
		args        []string
		want, sent  int
	}{
		{"response lost", dropping.Listener.Addr().String(), []string{"pause", "p-1"}, exitUnreachable, 0},
		{"connection refused", closed, []string{"pause", "p-1"}, exitDone, 1},
		{"query is repeated", dropping.Listener.Addr().String(), []string{"get", "moves"}, exitDone, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBackend()
			output, code := runAgainst(t, b, append([]string{"--server", c.first}, c.args...)...)
			t.Log(output)
			is.Equal(code, c.want)
			is.Equal(len(b.commands), c.sent)
		})
	}
}
