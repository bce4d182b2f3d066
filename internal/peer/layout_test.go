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
	is.New(t).Equal(peer.Layout, uint32(357306908)) // layout of the messages between daemons
}

// Guards against a field that is renamed in Go under its wire name and changes the layout all the same, and against a renamed
// or moved field that leaves the layout as it was.
func TestLayoutCoversWireNamesInOrder(t *testing.T) {
	type original struct {
		Held   bool
		Number uint64
	}
	type tagged struct {
		HoldsLease bool `wire:"Held"`
		Number     uint64
	}
	type renamed struct {
		HoldsLease bool
		Number     uint64
	}
	type moved struct {
		Number uint64
		Held   bool
	}
	is := is.New(t)
	is.Equal(peer.LayoutOf(tagged{}), peer.LayoutOf(original{}))
	is.True(peer.LayoutOf(renamed{}) != peer.LayoutOf(original{}))
	is.True(peer.LayoutOf(moved{}) != peer.LayoutOf(original{}))
}
