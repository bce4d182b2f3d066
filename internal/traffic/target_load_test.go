package traffic

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a load header with four figures that is dropped, and against waiting calls that are taken from a header of
// another form.
func TestTargetLoadHeader(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"9,7,12", " 9, 7 ,12", "9,7,12,100", "9, 7, 12, 250.5", "9,7,12,0.5"} {
		waiting, ok := parseTargetWaiting(text)
		is.True(ok)
		is.Equal(waiting, 7)
	}
	for _, text := range []string{
		"", "7", "9,7", "9,7,12,100,1", "9,-7,12", "x,7,12", "9,7,", "9,7.5,12", "9,9999999,12", "9,99999999999999999999,12",
		"9,7,12,", "9,7,12,0", "9,7,12,-100", "9,7,12,NaN", "9,7,12,Inf", "9,7,12,1e400", "9,7,12,1e6", "9,7,12,fast",
	} {
		_, ok := parseTargetWaiting(text)
		is.True(!ok)
	}
}

// Guards against a learned limit that callers do not use, and against a report that makes a target look larger than announced.
func TestReportedSlots(t *testing.T) {
	is := is.New(t)
	is.Equal(loadReport{slots: 6}.usableSlots(12), 6)
	is.Equal(loadReport{slots: 99}.usableSlots(12), 12)
	is.Equal(loadReport{}.usableSlots(12), 12)
}
