package peer_test

import (
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/peer"
)

// Guards against a change of the protocol by a rename or a moved field: daemons of releases whose layouts differ refuse each
// other's messages. A field that is renamed in Go keeps its wire name in a tag, such as `wire:"Held"`. Change the value only
// together with a deliberate change of the messages.
func TestLayoutIsPinned(t *testing.T) {
	is.New(t).Equal(peer.Layout, uint32(3055186898)) // layout of the messages between daemons
}
