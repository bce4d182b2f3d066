package traffic_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/command/quota"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/query/explanation"
	"sniperail.example/sniperail/internal/traffic"
)

// Guards against an explanation that costs a token, moves a counter or the rotation, changes what is known of targets, or sends
// something; and against one that takes a target for lost because no request has used it yet.
func TestExplanationChangesNothing(t *testing.T) {
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	asked := 0
	ch := startChainWithOptions(t, func(o *traffic.OutboundOptions) {
		o.Quota = traffic.QuotaOptions{
			Ask: func(context.Context, message.QuotaRequest) (*message.QuotaReply, int, bool) {
				asked++
				return nil, 0, false
			},
			Settings: quota.Settings{Window: 5 * time.Second}, Uptime: func() time.Duration { return time.Hour },
		}
	}, nil, []*scriptedTarget{target, target})
	ch.setTenants()
	rotation, calls := ch.outbound.RotationAndCalls("safe")
	before := ch.scrape(t)
	e := ch.outbound.Explain(explanation.Confirmation{Serves: true}, explanation.Request{
		Host: "Any.example:80", Method: "GET", Path: "/safe/x", Authorization: []string{"Token key-a"},
	})
	is.Equal(len(e.Candidates), 2)
	for _, c := range e.Candidates {
		is.True(c.Chance > 0.4)
		is.True(!c.Load.Suspect)
	}
	rotationAfter, callsAfter := ch.outbound.RotationAndCalls("safe")
	is.Equal(rotationAfter, rotation)
	is.Equal(callsAfter, calls)
	is.Equal(withoutProcess(ch.scrape(t)), withoutProcess(before))
	is.Equal(ch.outbound.KnownTargets(), 0)
	is.Equal(asked, 0)
	is.Equal(target.received.Load(), int64(0))
}

// withoutProcess removes the metrics of the process, which change by themselves.
func withoutProcess(metrics string) string {
	var kept []string
	for line := range strings.Lines(metrics) {
		if !strings.Contains(line, "process_") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "")
}

// Guards against an explanation that gives another reason than the refusal of a request.
func TestExplainedReasonsAreThoseOfRefusals(t *testing.T) {
	target := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	for _, c := range []struct {
		path, key             string
		notReady, unconfirmed bool
		withoutTargets        bool
	}{
		{path: "/none", key: "key-a"}, {path: "/safe/x", key: "key-c"}, {path: "/safe/x", key: "key-a", unconfirmed: true},
		{path: "/safe/x", key: "key-a", notReady: true}, {path: "/safe/x", key: "key-a", withoutTargets: true},
		{path: "/safe/x", key: "key-a"}, {path: "/named/x", key: "key-c"},
	} {
		ch := startChain(t, target)
		ch.setTenants()
		ch.table.View.Ready = !c.notReady
		ch.confirmed = func() bool { return !c.unconfirmed }
		if c.withoutTargets {
			ch.setTargets(nil)
		}
		_, header := ch.callAs(t, c.key, c.path)
		e := ch.outbound.Explain(explanation.Confirmation{Required: true, Serves: !c.unconfirmed}, explanation.Request{
			Method: "GET", Path: c.path, Authorization: []string{"Token " + c.key},
		})
		if got, want := string(e.Reason), header.Get(traffic.HeaderRefusal); got != want {
			t.Errorf("%+v: explained %q, refused %q", c, got, want)
		}
	}
}
