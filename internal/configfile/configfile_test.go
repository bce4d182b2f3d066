package configfile

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func decode(text string, selfContained bool) (Declaration, error) {
	return Decode([]Source{{Name: "f.yaml", Content: []byte(text)}}, Options{Now: noon, SelfContained: selfContained})
}

const service = "services: [{name: s, versions: [{version: v1, share: 100}, {version: v2, share: 0}]}]\n"

// Each case guards against an invalid file that is accepted, or a refusal without the place of the error.
func TestInvalidFilesAreRefused(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown field in an entry", "services:\n- name: s\n  shares: 3\n  versions: [{version: v1, share: 100}]", "f.yaml:3: shares: unknown field"},
		{"unknown field in a later document", service + "---\nroute: []", "f.yaml:3: route: unknown field"},
		{"field set twice", "routes:\n- name: r\n  name: q", "f.yaml:3: name: the field is set twice"},
		{"wrong type", "routes:\n- name: r\n  timeoutMs: soon", "f.yaml:3: cannot use text `soon` as int"},
		{"not YAML", "services:\n\t- x", "f.yaml:2: found character that cannot start any token"},
		{"route without a service", "routes:\n- {name: r, pathPrefix: /r}", "f.yaml:2: routes[0].service: a route needs a service"},
		{"route with a service and a split", "routes:\n- {name: r, service: s, pathPrefix: /r, split: [{service: s, weight: 1}]}",
			"f.yaml:2: routes[0].split: service and split exclude each other"},
		{"split without weights", "routes:\n- {name: r, pathPrefix: /r, split: [{service: s, weight: 0}]}", "routes[0].split: the weights sum to 0"},
		{"split to a service that does not exist", service + "routes:\n- {name: r, pathPrefix: /r, split: [{service: t, weight: 1}]}",
			`routes[0].split: service "t" does not exist`},
		{"negative attempts", "routes:\n- {name: r, service: s, pathPrefix: /r, maxAttempts: -1}", "routes[0].maxAttempts: -1 attempts are negative"},
		{"move without a service", "moves:\n- {to: v2, in: 30s}", "f.yaml:2: moves[0].service: a move needs a service"},
		{"shares below 100%", "services:\n- {name: s, versions: [{version: v1, share: 99.5}]}",
			`f.yaml:2: services[0].versions: the shares of service "s" sum to 99.50% instead of 100%`},
		{"share that needs rounding", "services:\n- {name: s, versions: [{version: v1, share: 33.333}]}",
			"f.yaml:2: services[0].versions[0].share: share 33.333 is not between 0 and 100 percent in steps of 0.01"},
		{"share that is not a number", "services:\n- {name: s, versions: [{version: v1, share: .nan}]}", "share NaN is not"},
		{"time of day in the past", "moves:\n- {service: s, to: v2, by: 11:59}",
			"f.yaml:2: moves[0].by: time 11:59 is in the past: it is 2026-12-04T12:00:00Z now"},
		{"time in the past", "moves:\n- {service: s, to: v2, by: 2026-12-03T18:00:00Z}", "f.yaml:2: moves[0].by: time 2026-12-03T18:00:00Z is in the past"},
		{"no set time", "moves:\n- {service: s, to: v2}", "f.yaml:2: moves[0].by: a move needs a set time"},
		{"two set times", "moves:\n- {service: s, to: v2, by: 18:00, in: 30s}", "moves[0].by: by and in exclude each other"},
		{"time in no known form", "moves:\n- {service: s, to: v2, by: tomorrow}", `moves[0].by: time "tomorrow" is neither`},
		{"two moves of one service", "moves:\n- {service: s, to: v2, in: 30s}\n- {service: s, to: v3, in: 60s}",
			`f.yaml:3: moves[1].service: service "s" is already moved at f.yaml:2`},
		{"route to a service that does not exist", service + "routes:\n- {name: r, service: t, pathPrefix: /r}",
			`f.yaml:3: routes[0].service: service "t" does not exist`},
		{"move to a version that does not exist", service + "moves:\n- {service: s, to: v9, in: 30s}",
			`f.yaml:3: moves[0].to: version "v9" of service "s" does not exist`},
		{"dependency that does not exist", "services:\n- {name: s, dependsOn: [t], versions: [{version: v1, share: 100}]}",
			`f.yaml:2: services[0].dependsOn: service "t" does not exist`},
		{"service declared twice", service + "---\n" + service, `f.yaml:3: services[0].name: service "s" is already declared at f.yaml:1`},
		{"repeatable route that runs once", "routes:\n- {name: r, service: s, pathPrefix: /r, idempotent: true, once: {}}",
			"routes[0].idempotent: a route with once cannot be idempotent"},
		{"path without a slash", "routes:\n- {name: r, service: s, pathPrefix: r}", `routes[0].pathPrefix: path prefix "r" does not start with /`},
		{"digest without a window", "routes:\n- {name: r, service: s, pathPrefix: /r, once: {digestFields: [a]}}", "routes[0].once.window: digestFields need a window"},
		{"dashboard label that no move has", "dashboard: {labels: {host: h}}", `f.yaml:1: dashboard.labels: label "host" is not one of move, service, from, to, phase`},
		{"dashboard labels with one name", "dashboard: {labels: {from: to}}", `f.yaml:1: dashboard.labels: labels "from" and "to" have the same name "to"`},
		{"dashboard metric with a space", "dashboard: {moveMetric: a b}", `dashboard.moveMetric: "a b" is not a metric name`},
		{"document over a megabyte", "# " + strings.Repeat("x", MaxBytes), "f.yaml: the file is larger than 1048576 bytes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := decode(c.text, true)
			is.True(err != nil)
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %q, want %q", err, c.want)
			}
		})
	}
}

// Guards against a refusal that reports only the first of several problems.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := decode("services: [{}]\n---\nroutes: [{}]\nfoo: 1\nbar: 2\n---\nmoves: [{}]", true)
	problems, ok := err.(Problems)
	is.True(ok)
	is.Equal(len(problems), 7) // name and shares; foo and bar; service, version and set time
}

// Guards against a value that is lost or changed when a file is decoded.
func TestDecodeKeepsEveryValue(t *testing.T) {
	is := is.New(t)
	d, err := decode(`
services:
- {name: s, customer: c, dependsOn: [u], versions: [{version: v1, share: 97.55}, {version: v2, share: 2.45}]}
routes:
- {name: r, service: s, pathPrefix: /r, methods: [POST], timeoutMs: 900, once: {header: X-Id, digestFields: [a], window: 60s}}
dashboard: {moveMetric: move_state, labels: {service: svc}}
---
moves:
- {service: s, to: v2, by: 18:30, watch: 2m, minCalls: 40}
- {service: u, to: v3, in: 30s}
remove: {services: [old], routes: [old-route]}
`, false)
	is.NoErr(err)
	is.Equal(d.Change, &model.Change{
		Services: []model.Service{{Name: "s", Customer: "c", DependsOn: []model.ServiceName{"u"},
			Versions: []model.VersionShare{{Version: "v1", Share: 9755}, {Version: "v2", Share: 245}}}},
		Routes: []model.Route{{Name: "r", Service: "s", PathPrefix: "/r", Methods: []string{"POST"}, TimeoutMS: 900,
			Once: &model.Once{Header: "X-Id", DigestFields: []string{"a"}, WindowSeconds: 60}}},
		Dashboard:      &model.Dashboard{MoveMetric: "move_state", Labels: map[string]string{"service": "svc"}},
		RemoveServices: []model.ServiceName{"old"}, RemoveRoutes: []model.RouteName{"old-route"},
	})
	is.Equal(d.Intents, []model.Intent{
		{Service: "s", To: "v2", By: noon.Add(6*time.Hour + 30*time.Minute), WatchSeconds: 120, MinCalls: 40},
		{Service: "u", To: "v3", By: noon.Add(30 * time.Second)},
	})
}

// Guards against a file that makes the decoder panic, or that is accepted although a service has no name or its shares do
// not sum to 100%.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(service + "routes: [{name: r, service: s, pathPrefix: /r, once: {}}]\n---\nmoves: [{service: s, to: v2, in: 30s}]"))
	f.Add([]byte("a: &a [x]\nservices: [*a]"))
	f.Add([]byte("services: {name: s}\n? [1]\n: 2"))
	f.Fuzz(func(t *testing.T, content []byte) {
		d, err := Decode([]Source{{Name: "f.yaml", Content: bytes.Clone(content)}}, Options{Now: noon, SelfContained: true})
		if err != nil || d.Change == nil {
			return
		}
		for _, s := range d.Change.Services {
			var sum model.Share
			for _, v := range s.Versions {
				sum += v.Share
			}
			if s.Name == "" || sum != model.FullShare {
				t.Errorf("accepted service %+v", s)
			}
		}
	})
}
