package message_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	_ "sniperail.example/sniperail/internal/testseed"
)

// Guards against outcomes that change when they are packed for sending and unpacked by the receiver.
func TestSumsSurvivePacking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := map[model.OutcomeKey]model.OutcomeSum{}
		var sums []model.KeyedSum
		for _, v := range rapid.SliceOfNDistinct(rapid.IntRange(0, 8), 0, 5, rapid.ID).Draw(t, "keys") {
			s := model.KeyedSum{OutcomeKey: model.OutcomeKey{
				Service: "s", Route: model.RouteName(rune('a' + v/3)), Version: model.VersionName(rune('a' + v%3)),
			}}
			s.Calls, s.Failures = rapid.Uint32().Draw(t, "calls"), rapid.Uint32().Draw(t, "failures")
			s.Latency[rapid.IntRange(0, model.LatencyBuckets-1).Draw(t, "bucket")] = rapid.Uint32().Draw(t, "count")
			s.Latency[rapid.IntRange(0, model.LatencyBuckets-1).Draw(t, "bucket")] = rapid.Uint32().Draw(t, "count")
			sums = append(sums, s)
			want[s.OutcomeKey] = s.OutcomeSum
		}
		got := map[model.OutcomeKey]model.OutcomeSum{}
		for _, s := range message.UnpackSums(message.PackSums(sums)) {
			got[s.OutcomeKey] = s.OutcomeSum
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against targets that change when they are grouped for a roster change and read back from it.
func TestTargetsSurviveGrouping(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var targets []model.Target
		for i := range rapid.IntRange(0, 8).Draw(t, "targets") {
			targets = append(targets, model.Target{
				Daemon: model.DaemonID(rune('a' + i)), Incarnation: model.Incarnation(i), Slots: rapid.IntRange(0, 1).Draw(t, "slots"),
				State: rapid.SampledFrom([]model.TargetState{model.TargetReady, model.TargetDown}).Draw(t, "state"),
				Since: time.Unix(rapid.Int64Range(1, 1e9).Draw(t, "since"), 5).UTC(), Address: "a", PeerAddress: "p",
			})
		}
		c := &message.RosterChange{Groups: message.GroupTargets(targets)}
		if diff := cmp.Diff(targets, c.Targets()); diff != "" {
			t.Fatal(diff)
		}
	})
}
