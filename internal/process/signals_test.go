package process_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/process"
)

// hangups is more than the signals that are kept until they are handled.
const hangups = 100

// Guards against a SIGTERM that is lost behind repeated SIGHUPs that are not handled yet: the supervisor would kill the process at the
// end of the grace time, with the requests that it still takes.
func TestHangupsLoseNoStop(t *testing.T) {
	is := is.New(t)
	signals := process.NotifySignals()
	send := func(s syscall.Signal) {
		is.NoErr(syscall.Kill(os.Getpid(), s))
		time.Sleep(2 * time.Millisecond) // signals that wait together count as one
	}
	for range hangups {
		send(syscall.SIGHUP)
	}
	send(syscall.SIGTERM)
	go signals.Handle(zap.NewNop())
	select {
	case <-signals.Stop().Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the signal to stop was lost")
	}
	select {
	case <-signals.Reload():
	case <-time.After(5 * time.Second):
		t.Fatal("the signal to reload was lost")
	}
}
