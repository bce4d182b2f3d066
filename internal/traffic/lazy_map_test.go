package traffic_test

import (
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/traffic"
)

// Guards against concurrent first calls to a service that each get a retry budget of their own, because each of them creates
// the value for the key.
func TestConcurrentFirstUsesShareOneValue(t *testing.T) {
	is := is.New(t)
	for range 100 {
		got := traffic.ConcurrentFirstUse(8)
		for _, value := range got {
			is.True(value == got[0])
		}
	}
}
