package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// signalQueue is the number of signals that are kept until Handle receives them.
const signalQueue = 16

// Signals receives the signals of a daemon.
type Signals struct {
	received chan os.Signal
	stop     context.Context
	stopNow  context.CancelFunc
	abort    context.Context
	abortNow context.CancelFunc
}

// NotifySignals starts to receive SIGTERM and interrupts. A program calls it before anything else, because a signal that
// it does not receive ends the process at once.
func NotifySignals() *Signals {
	s := &Signals{received: make(chan os.Signal, signalQueue)}
	s.stop, s.stopNow = context.WithCancel(context.Background())
	s.abort, s.abortNow = context.WithCancel(context.Background())
	signal.Notify(s.received, syscall.SIGTERM, os.Interrupt)
	return s
}

// Stop returns a context that ends with the first SIGTERM or interrupt.
func (s *Signals) Stop() context.Context { return s.stop }

// Abort returns a context that ends with the second SIGTERM or interrupt.
func (s *Signals) Abort() context.Context { return s.abort }

// Handle handles the signals, including those received before, and logs each. It does not return.
func (s *Signals) Handle(logger *zap.Logger) {
	stops := 0
	for received := range s.received {
		stops++
		s.stopNow()
		if stops > 1 {
			s.abortNow()
		}
		logger.Info("signal", zap.Stringer("signal", received), zap.Int("stops", stops))
	}
}
