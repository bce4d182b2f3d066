package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a scenario that exceeds a limit, and against a measurement without messages or executed requests.
func TestScenariosKeepTheLimits(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			row := measure(sc, 20, 12*time.Second, 2*time.Millisecond, 1)
			t.Logf("%+v", row)
			is.True(row.Worst > 0 && row.Worst <= 1)
			is.True(row.Messages > 0 && row.Bytes > 0)
		})
	}
}

// Guards against a window that is counted wrong, on which all results depend.
func TestWorstWindow(t *testing.T) {
	is := is.New(t)
	n, at := WorstWindow([]time.Duration{9, 1, 2, 5, 6, 7}, 4, 0)
	is.Equal(n, 3)
	is.Equal(at, time.Duration(5))
	n, _ = WorstWindow([]time.Duration{1, 2, 3, 9}, 4, 3)
	is.Equal(n, 1)
}
