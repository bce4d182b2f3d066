package traffic_test

import (
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/traffic"
)

// Guards against concurrent first calls of a service that spend from retry budgets of their own.
func TestFirstUsesShareOneValue(t *testing.T) {
	is := is.New(t)
	for range 100 {
		got := traffic.FirstUse(8)
		for _, value := range got {
			is.True(value == got[0])
		}
	}
}
