// Package daemon assembles sniperaild from the control loop, the peer server, the call path and the operators' API.
package daemon

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sniperail.example/sniperail/internal/api"
	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/command/agent"
	"sniperail.example/sniperail/internal/command/callers"
	"sniperail.example/sniperail/internal/command/claims"
	"sniperail.example/sniperail/internal/command/controller"
	"sniperail.example/sniperail/internal/control"
	"sniperail.example/sniperail/internal/document"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/once"
	"sniperail.example/sniperail/internal/peer"
	"sniperail.example/sniperail/internal/platform"
	"sniperail.example/sniperail/internal/process"
	"sniperail.example/sniperail/internal/settings"
	"sniperail.example/sniperail/internal/store"
	"sniperail.example/sniperail/internal/telemetry"
	"sniperail.example/sniperail/internal/traffic"
)

const (
	// drainNotice is how long a draining daemon keeps its listeners open, so that every other daemon learns that it
	// is draining before connections are refused. All daemons know it within 3 s.
	drainNotice = 3 * time.Second
	// shutdownTimeout bounds the wait for calls in flight. It exceeds the default deadline of a call.
	shutdownTimeout = 30 * time.Second
	// ingressStopTime is the part of shutdownTimeout that is reserved for the stop of the ingress.
	ingressStopTime = 2 * time.Second
	// headerTimeout bounds the time in which a caller must send a request header, and idleTimeout the time between its requests.
	headerTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
	// storeTimeout bounds one call to the platform's store, which normally answers within milliseconds.
	storeTimeout     = 2 * time.Second
	storeDialTimeout = 500 * time.Millisecond
	// queueFactor is the length of the admission queue per slot: a queued call then waits for about two calls before it.
	queueFactor = 2
)

// Daemon is one running sniperaild.
type Daemon struct {
	settings settings.Daemon
	logger   *zap.Logger
	metrics  *telemetry.Metrics

	listeners   listeners
	storeClient *platform.Client
	store       store.Store
	loop        *control.Loop
	peerClient  *peer.Client
	peerServer  *peer.Server
	ingress     *traffic.Ingress
	admission   *traffic.Admission
	guard       *once.Guard
	servers     servers

	callers        *traffic.CallerBudget
	callerLimits   callers.Limits
	trafficMetrics *traffic.Metrics
}

type listeners struct{ ingress, admission, peer, api net.Listener }

type servers struct {
	ingress        *traffic.PipelineServer
	admission, api *http.Server
}

// memoryLimit is the limit in bytes that docs/design.md sets for control in a daemon. The garbage collector runs more often
// when memory use approaches it.
const memoryLimit = 256 << 20

// New opens the listeners and assembles the daemon. Run starts it.
func New(s settings.Daemon, logger *zap.Logger) (*Daemon, error) {
	metrics, err := telemetry.NewMetrics("sniperaild")
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(traffic.GCPercent)
	d := &Daemon{settings: s, logger: logger, metrics: metrics}
	steps := []func() error{d.buildCallers, d.listen, d.connectStore, d.buildControl, d.buildTraffic, d.buildAPI}
	for _, step := range steps {
		if err := step(); err != nil {
			d.closeListeners()
			return nil, err
		}
	}
	return d, nil
}

// buildCallers assembles the budget for callers on all listeners.
func (d *Daemon) buildCallers() error {
	metrics, err := traffic.NewMetrics(d.metrics)
	if err != nil {
		return err
	}
	d.callerLimits = traffic.CallerLimits(d.settings.Callers, memoryLimit)
	d.callers, d.trafficMetrics = traffic.NewCallerBudget(d.callerLimits, metrics), metrics
	return metrics.RegisterCallerGauges(d.callers)
}

func (d *Daemon) listen() error {
	open := []struct {
		flag, address string
		to            *net.Listener
	}{
		{"ingress", d.settings.Ingress, &d.listeners.ingress},
		{"admission", d.settings.Admission, &d.listeners.admission},
		{"peer", d.settings.Peer, &d.listeners.peer},
		{"api", d.settings.API, &d.listeners.api},
	}
	for _, o := range open {
		listener, err := net.Listen("tcp", o.address)
		if err != nil {
			return errors.Wrapf(err, "--%s", o.flag)
		}
		*o.to = listener
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.listeners.ingress, d.listeners.admission, d.listeners.peer, d.listeners.api} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (d *Daemon) connectStore() error {
	client, err := platform.NewClient(platform.ClientConfig{
		Endpoints: []string{d.settings.Platform}, Timeout: storeTimeout, DialTimeout: storeDialTimeout,
	})
	if err != nil {
		return err
	}
	config := platform.DefaultGateConfig()
	config.RecordCall = platform.CallRecorder(d.metrics.CounterSet("sniperail_platform_calls",
		"Calls to the platform's service by kind, reason and outcome."))
	gate, err := platform.NewGate(client, config)
	if err != nil {
		return err
	}
	d.storeClient, d.store = client, gate
	return nil
}

func (d *Daemon) initialTarget() model.Target {
	now := time.Now()
	return model.Target{
		Daemon: model.DaemonID(d.settings.ID), Incarnation: model.Incarnation(now.UnixNano()),
		Service: model.ServiceName(d.settings.Service), Version: model.VersionName(d.settings.Version),
		DataCentre: model.DataCentre(d.settings.DataCentre), Region: model.Region(d.settings.Region),
		Address: d.listeners.admission.Addr().String(), PeerAddress: d.listeners.peer.Addr().String(),
		Slots: d.settings.Slots, Connections: d.settings.Connections,
		State: model.TargetStarting, Since: now,
	}
}

func (d *Daemon) buildControl() error {
	core := agent.New(agent.Config{
		Target: d.initialTarget(), Seeds: d.settings.Seeds, Rand: process.NewRand(), Codec: document.JSON{},
	})
	controller.New(core, document.JSON{})
	d.peerClient = peer.NewClient(d.metrics.ControlBytesCounter())
	d.loop = control.NewLoop(core, d.peerClient, d.store, d.logger, d.metrics)
	server, err := peer.NewServer(d.callers.Listen(d.listeners.peer, "peer"), d.loop, d.metrics.ControlBytesCounter())
	if err != nil {
		return err
	}
	server.OnRefused(func(address string, err error) {
		d.logger.Warn("peer-refused", zap.String("address", address), zap.Error(err))
	})
	d.peerServer = server
	return nil
}

func (d *Daemon) buildTraffic() error {
	metrics := d.trafficMetrics
	var err error
	d.guard, err = once.NewGuard(d.store, once.Config{
		Claims: claims.DefaultConfig(d.settings.ID),
		Count:  func(reason string) { d.metrics.Add("sniperail_claims", reason) },
	})
	if err != nil {
		return err
	}
	limits := traffic.DefaultLimits()
	callerSide := limits
	callerSide.OutgoingConnections = d.callerLimits.Outgoing
	callerSide.BufferedBodyBytes, callerSide.Pace = traffic.MaxBufferedUpload, d.callerLimits.Pace
	d.ingress = traffic.NewIngress(traffic.IngressOptions{Tables: d.loop, Observer: d.loop, Metrics: metrics, Limits: callerSide})
	d.admission = traffic.NewAdmission(traffic.AdmissionOptions{
		Address: d.settings.Target,
		Service: model.ServiceName(d.settings.Service), Version: model.VersionName(d.settings.Version),
		Settings: admission.Settings{
			Slots: d.settings.Slots, Connections: d.settings.Connections, Queue: queueFactor * d.settings.Slots,
		},
		Tables: d.loop, Metrics: metrics, Limits: limits,
		Once: claimAdapter{guard: d.guard, defaultTimeout: model.DefaultTimeoutMS * time.Millisecond},
	})
	if err := metrics.RegisterAdmissionGauges(d.admission); err != nil {
		return err
	}
	// Unlike http.Server, it answers requests that have arrived when it stops, also those of connections that were not accepted yet.
	d.servers.ingress = traffic.NewPipelineServer(traffic.PipelineOptions{
		Handler: d.ingress, HeaderBytes: limits.HeaderBytes, Logger: d.logger, WriteTimeout: traffic.ResponseWriteTimeout, Callers: d.callers,
		HeaderTimeout: func() time.Duration { return headerTimeout }, IdleTimeout: func() time.Duration { return idleTimeout },
	})
	d.servers.admission = d.withErrorLog(traffic.NewServer(d.admission, limits))
	d.listeners.admission = d.callers.Guard(d.servers.admission, d.listeners.admission, "admission")
	return nil
}

func (d *Daemon) withErrorLog(s *http.Server) *http.Server {
	s.ErrorLog, _ = zap.NewStdLogAt(d.logger, zapcore.DebugLevel)
	return s
}

func (d *Daemon) buildAPI() error {
	handler := api.New(api.Options{
		Submitter: commandSubmitter{d.loop}, Reader: d.newQueryReader(),
		View:    func() *model.Configuration { return d.loop.Table().View.Configuration },
		Metrics: d.metrics.Gatherer(), Ready: d.notReadyReason, Number: d.configurationNumber,
	})
	err := d.metrics.RegisterGauge("sniperail_configuration_number", "Configuration number in force on this daemon.",
		func() float64 { return float64(d.configurationNumber()) })
	if err != nil {
		return err
	}
	d.servers.api = d.withErrorLog(traffic.NewAuxiliaryServer(handler, headerTimeout))
	d.listeners.api = d.callers.Guard(d.servers.api, d.listeners.api, "api")
	return nil
}

func (d *Daemon) newQueryReader() queryReader {
	return queryReader{loop: d.loop, store: d.store, peerClient: d.peerClient, address: d.listeners.peer.Addr().String()}
}

func (d *Daemon) configurationNumber() model.Number { return d.loop.Table().View.Configuration.Number }

// notReadyReason returns why the daemon should receive no calls, or "" if it is ready.
func (d *Daemon) notReadyReason() string {
	if !d.loop.Table().View.Ready {
		return "the daemon does not know the present configuration number"
	}
	return ""
}

// Run serves until ctx ends, then drains: it announces the draining at once, refuses new calls as not executed, and waits
// for calls in flight.
func (d *Daemon) Run(ctx context.Context) {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	group.Go(func() { d.loop.Run(work) })
	group.Go(d.peerServer.Serve)
	group.Go(func() { d.ingress.Run(work) })
	probing, stopProbe := context.WithCancel(work)
	group.Go(func() { d.newProbe(work).Run(probing) })
	group.Go(func() { d.serve("ingress", d.servers.ingress, d.listeners.ingress) })
	group.Go(func() { d.serve("admission", d.servers.admission, d.listeners.admission) })
	group.Go(func() { d.serve("api", d.servers.api, d.listeners.api) })
	d.logListening()

	<-ctx.Done()
	stopProbe()
	d.drain(work)
	stop()
	d.peerServer.Close()
	d.peerClient.Close()
	group.Wait()
}

func (d *Daemon) newProbe(ctx context.Context) *traffic.Probe {
	return traffic.NewProbe(traffic.ProbeOptions{
		Address: d.settings.Target, Warmup: d.settings.Warmup,
		OnChange: func(state model.TargetState) {
			d.admission.SetTarget(state)
			d.loop.NotifyTargetChanged(ctx, state)
		},
	})
}

func (d *Daemon) logListening() {
	d.logger.Info("serving", zap.String("id", d.settings.ID),
		zap.Stringer("ingress", d.listeners.ingress.Addr()), zap.Stringer("admission", d.listeners.admission.Addr()),
		zap.Stringer("peer", d.listeners.peer.Addr()), zap.Stringer("api", d.listeners.api.Addr()))
}

func (d *Daemon) serve(name string, server interface{ Serve(net.Listener) error }, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		d.logger.Error("server stopped", zap.String("server", name), zap.Error(err))
	}
}

// drain takes the daemon out of service without interrupting calls.
func (d *Daemon) drain(ctx context.Context) {
	started := time.Now()
	d.logger.Info("draining")
	d.admission.Drain()
	d.loop.NotifyTargetChanged(ctx, model.TargetDraining)
	// Close callers' connections after their next response, so that few are open when the listener closes.
	d.servers.ingress.Drain()
	process.Wait(ctx, drainNotice)
	end := time.Now().Add(shutdownTimeout)
	limited, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	d.ingress.RefuseLong(end.Add(-ingressStopTime))
	var group sync.WaitGroup
	group.Go(func() {
		d.takeTargetCalls(limited, end.Add(-ingressStopTime))
		d.stopIngress(limited, started)
	})
	for name, server := range map[string]*http.Server{"admission": d.servers.admission, "api": d.servers.api} {
		group.Go(func() {
			if err := server.Shutdown(limited); err != nil {
				d.logCuts(name, started)
				_ = server.Close()
			}
		})
	}
	group.Wait()
	// The responses to claimed requests are stored only after they were sent to the callers.
	d.guard.Close(limited)
	d.logger.Info("drained")
}

// takeTargetCalls keeps the ingress open while the target works on calls: it may need calls of its own for them.
func (d *Daemon) takeTargetCalls(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	_ = d.admission.Wait(ctx) // a call that runs longer is waited for, but its target cannot make calls any more
}

// stopIngress stops the ingress after the requests that have arrived, and waits for callers that still read their responses.
func (d *Daemon) stopIngress(ctx context.Context, started time.Time) {
	server := d.servers.ingress
	server.StopReading()
	server.StopAccepting()
	if server.Wait(ctx) != nil {
		d.logCuts("ingress", started)
	}
	_ = server.WaitClosed(ctx) // a caller that has not read its response until then loses it
	_ = server.Close()
}

func (d *Daemon) logCuts(server string, started time.Time) {
	d.logger.Warn("stopping-cuts", zap.String("server", server), zap.Int("requests", d.ingress.InFlight()),
		zap.Int("calls", d.admission.InFlight()), zap.Int64("after_ms", time.Since(started).Milliseconds()))
}
