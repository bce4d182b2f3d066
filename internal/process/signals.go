package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// signalQueue is the number of signals of each kind that are kept until Handle receives them; later ones are dropped.
const signalQueue = 16

// Signals receives the signals of a daemon.
type Signals struct {
	// stops and hangups are apart, so that repeated SIGHUPs leave room for a signal to stop.
	stops, hangups chan os.Signal
	reload         chan struct{}
	stop           context.Context
	stopNow        context.CancelFunc
}

// NotifySignals starts to receive SIGTERM, SIGHUP and interrupts. A program calls it before anything else, because a signal that
// it does not receive ends the process at once.
func NotifySignals() *Signals {
	s := &Signals{
		stops: make(chan os.Signal, signalQueue), hangups: make(chan os.Signal, signalQueue), reload: make(chan struct{}, 1),
	}
	s.stop, s.stopNow = context.WithCancel(context.Background())
	signal.Notify(s.stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.hangups, syscall.SIGHUP)
	return s
}

// Stop returns a context that ends with the first SIGTERM or interrupt. Later ones change nothing: supervisors repeat the signal or
// send it to the process and to its group, and requests in flight must not pay for that. A drain ends by itself; SIGQUIT or SIGKILL
// ends the process at once.
func (s *Signals) Stop() context.Context { return s.stop }

// Reload returns a channel that receives after a SIGHUP. Several signals may be received as one.
func (s *Signals) Reload() <-chan struct{} { return s.reload }

// Handle handles the signals, including those received before, and logs each. It does not return.
func (s *Signals) Handle(logger *zap.Logger) {
	stops := 0
	for {
		var received os.Signal
		select {
		case received = <-s.stops:
			stops++
			s.stopNow()
		case received = <-s.hangups:
			select {
			case s.reload <- struct{}{}:
			default:
			}
		}
		logger.Info("signal", zap.Stringer("signal", received), zap.Int("stops", stops))
	}
}
