package agent_test

import (
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
)

// Guards against a crash on a load query while a child has sent only a heartbeat that does not list its targets.
func TestLoadQueryBeforeAFullHeartbeat(t *testing.T) {
	is := is.New(t)
	m := newMember()
	m.join(&message.AnnounceReply{Code: message.Accepted, Term: 7, Relay: true, Number: 5, Current: true})
	m.handle(effect.RequestReceived{Token: 1, Body: &message.Heartbeat{From: "unlisted", Term: 7, Incarnation: 1, Seq: 1, Live: 1}})
	effects := m.handle(effect.RequestReceived{Token: 2, Body: &message.LoadQuery{Service: "profiles", Scope: message.ScopeTree}})
	replies := 0
	for _, e := range effects {
		if reply, ok := e.(effect.Reply); ok && reply.Token == 2 {
			replies++
			is.Equal(reply.Body.(*message.LoadReply).Daemons, 1) // the address of the child is unknown, so it is not asked
		}
	}
	is.Equal(replies, 1)
}
