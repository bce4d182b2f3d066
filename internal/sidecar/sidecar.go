// Package sidecar assembles the control loop, the call path and the listeners of sniperail-sidecar, a daemon that works
// without elected leaders on a platform that stores the operator's configuration.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sniperail.example/sniperail/internal/command/callers"
	"sniperail.example/sniperail/internal/command/catalog"
	"sniperail.example/sniperail/internal/command/quota"
	"sniperail.example/sniperail/internal/command/retry"
	"sniperail.example/sniperail/internal/command/rollout"
	"sniperail.example/sniperail/internal/control"
	"sniperail.example/sniperail/internal/document"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/peer"
	"sniperail.example/sniperail/internal/platform"
	"sniperail.example/sniperail/internal/process"
	"sniperail.example/sniperail/internal/settings"
	"sniperail.example/sniperail/internal/telemetry"
	"sniperail.example/sniperail/internal/traffic"
)

const (
	// storeTimeout bounds one call to the platform's store, which normally answers within milliseconds. A daemon that gets no
	// response can retry within the time in which a change has to be in force.
	storeTimeout     = 1500 * time.Millisecond
	storeDialTimeout = 500 * time.Millisecond
	// storeRate bounds the calls of one daemon per second, and storeBurst those at once. A daemon makes a few calls for each
	// change of its target.
	storeRate  = 20
	storeBurst = 20
	// storeBackoffBase and storeBackoffMax bound the backoff after a call that the store could not process.
	storeBackoffBase = 50 * time.Millisecond
	storeBackoffMax  = 500 * time.Millisecond
	// gcPercent keeps the heap small, because the VM's memory is meant for the target. The cost of more frequent collections
	// is acceptable, since the process uses only a few percent of a core.
	gcPercent = 25
	// idlePerPeer is the number of idle connections kept open to one daemon, and idleTotal to all daemons.
	idlePerPeer = 24
	idleTotal   = 512
)

// storeKeepAlive closes a dead connection to the store within about two seconds: a daemon that has lost all its connections
// must receive changes again after three seconds.
var storeKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}

// Adapter translates between sniperail and the operator's platform: stored values, HTTP headers and endpoints.
type Adapter struct {
	Operator catalog.OperatorCodec
	Store    platform.Protocol
	Headers  traffic.Headers
	// Control returns the handler for the target's status reports, and Ready the handler for readiness checks of the daemon.
	Control func(report func(context.Context, model.TargetReport) model.Outcome, refused func(error)) http.Handler
	Ready   func(ready func() bool) http.Handler
}

// Sidecar is one daemon with its listeners, its control loop and its call path.
type Sidecar struct {
	settings settings.Sidecar
	adapter  Adapter
	logger   *zap.Logger
	metrics  *telemetry.Metrics

	loop        *control.Loop
	peerClient  *peer.Client
	peerServer  *peer.Server
	ingress     *traffic.PipelineServer
	callers     *traffic.CallerBudget
	outbound    *traffic.Outbound
	inbound     *traffic.Inbound
	storeClient *platform.Client
	servers     []*server
	draining    atomic.Bool

	callLimits     callers.Limits
	trafficMetrics *traffic.Metrics
}

// httpServer is implemented by http.Server and traffic.PipelineServer.
type httpServer interface {
	Serve(listener net.Listener) error
	Close() error
}

// server is an HTTP server with its listener.
type server struct {
	name     string
	listener net.Listener
	http     httpServer
}

// New opens the listeners and assembles the daemon. Run starts it.
func New(s settings.Sidecar, adapter Adapter, logger *zap.Logger) (*Sidecar, error) {
	debug.SetGCPercent(gcPercent)
	metrics, err := telemetry.NewMetrics("sniperail-sidecar")
	if err != nil {
		return nil, err
	}
	d := &Sidecar{settings: s, adapter: adapter, logger: logger, metrics: metrics}
	for _, step := range []func() error{d.buildCallers, d.buildControl, d.buildTraffic, d.buildAuxiliaryServers} {
		if err := step(); err != nil {
			d.closeListeners()
			return nil, err
		}
	}
	return d, nil
}

func (d *Sidecar) closeListeners() {
	if d.peerServer != nil {
		d.peerServer.Close()
	}
	for _, s := range d.servers {
		_ = s.listener.Close()
	}
}

// addServer opens the listener of a server that Run starts. name is the setting that holds the address.
func (d *Sidecar) addServer(name, address string, h httpServer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "--%s", name)
	}
	if s, ok := h.(*http.Server); ok {
		s.ErrorLog, _ = zap.NewStdLogAt(d.logger, zapcore.DebugLevel)
		listener = d.callers.Guard(s, listener, name)
	}
	d.servers = append(d.servers, &server{name, listener, h})
	return nil
}

func (d *Sidecar) buildControl() error {
	gate, err := d.connectStore()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", d.settings.Peer)
	if err != nil {
		return errors.Wrap(err, "--peer")
	}
	config := catalog.Config{
		Target: model.Target{
			Daemon: model.DaemonID(d.settings.ID), Incarnation: model.Incarnation(time.Now().UnixNano()),
			Service:    model.ServiceName(d.settings.Service),
			DataCentre: model.DataCentre(d.settings.DataCentre), Region: model.Region(d.settings.Region),
			Address: d.settings.Advertised(d.settings.Admission), PeerAddress: d.settings.Advertised(d.settings.Peer),
			State: model.TargetStarting,
		},
		Seeds: d.settings.Seeds, Operator: d.adapter.Operator, Records: document.JSON{}, Rand: process.NewRand(),
		MinLease: d.settings.MinLease, FirstStart: d.settings.FirstStart,
		Exposure: rollout.ExposureLimit{Fraction: d.settings.ExposureFraction, Slack: d.settings.ExposureSlack},
		Quota:    d.quotaSettings(), Uptime: process.Uptime,
	}
	d.confirmConfigurations(&config)
	core := catalog.New(config)
	counted := d.metrics.ControlBytesCounter()
	d.peerClient = peer.NewClient(counted)
	d.loop = control.NewLoop(core, d.peerClient, gate, d.logger, d.metrics)
	d.loop.SetHealthCheck(d.checkTargetHealth)
	d.loop.OnPublish(func(view *model.View) {
		d.inbound.SetLearning(d.learnsConcurrency(view))
		d.inbound.Update(view.Local, traffic.TargetConditions{
			Withheld: d.loop.Table().IsWithheld(view.Local.Ref()), Evacuated: view.IsEvacuated(view.Local.DataCentre),
			WarmupPerSecond: warmupPerSecond(view),
		})
	})
	d.peerServer, err = peer.NewServer(d.callers.Listen(listener, "peer"), d.loop, counted)
	if err != nil {
		return err
	}
	d.peerServer.OnRefused(func(address string, err error) {
		d.logger.Warn("peer-refused", zap.String("address", address), zap.Error(err))
	})
	return nil
}

// learnsConcurrency reports whether the concurrency limit of the target is learned. It is not during a move of the service: a new
// version that cannot run calls on all its slots must look as slow as it is, so that it is withdrawn and not only used less.
func (d *Sidecar) learnsConcurrency(view *model.View) bool {
	return d.settings.LearnConcurrency && view.Configuration != nil && view.Configuration.ActiveMove(view.Local.Service) == nil
}

func (d *Sidecar) connectStore() (*platform.Gate, error) {
	client, err := platform.NewClient(platform.ClientConfig{
		Endpoints: []string{d.settings.Platform}, Timeout: storeTimeout, DialTimeout: storeDialTimeout,
		Protocol: d.adapter.Store, KeepAlive: storeKeepAlive,
	})
	if err != nil {
		return nil, err
	}
	d.storeClient = client
	return platform.NewGate(client, platform.GateConfig{
		WritesPerSecond: storeRate, WriteBurst: storeBurst, ReadsPerSecond: storeRate, ReadBurst: storeBurst,
		BackoffBase: storeBackoffBase, BackoffMax: storeBackoffMax,
		RecordCall: platform.CallRecorder(d.metrics.CounterSet("sniperail_platform_calls",
			"Calls to the platform's store by kind, reason and outcome.")),
	})
}

// buildCallers assembles the budget for callers on all listeners.
func (d *Sidecar) buildCallers() error {
	metrics, err := traffic.NewMetrics(d.metrics)
	if err != nil {
		return err
	}
	metrics.FractionalRetryAfter = true
	d.callLimits = traffic.CallerLimits(d.settings.Callers, 0)
	d.callers, d.trafficMetrics = traffic.NewCallerBudget(d.callLimits, metrics), metrics
	return metrics.RegisterCallerGauges(d.callers)
}

func (d *Sidecar) buildTraffic() error {
	metrics := d.trafficMetrics
	limits := traffic.DefaultLimits()
	limits.IdlePerPeer, limits.IdleTotal, limits.BodyBytes = idlePerPeer, idleTotal, maxBodyBytes
	callerSide := limits
	callerSide.OutgoingConnections = d.callLimits.Outgoing
	callerSide.BufferedBodyBytes, callerSide.Pace = traffic.MaxBufferedUpload, d.callLimits.Pace
	requestLog := traffic.RequestLog{Logger: d.logger, RequestID: d.adapter.Headers.RequestID}
	d.outbound = traffic.NewOutbound(traffic.OutboundOptions{
		Tables: d.loop, Confirmed: d.isConfirmed, Headers: d.adapter.Headers, Metrics: metrics, Limits: callerSide, Log: requestLog,
		Service: model.ServiceName(d.settings.Service),
		Budget:  retry.SharedLimit{Ratio: d.settings.RetryRatio, Slack: d.settings.RetrySlack, Window: d.settings.RetryWindow},
		Quota:   traffic.QuotaOptions{Ask: d.loop.AskQuota, Settings: d.quotaSettings(), Uptime: process.Uptime},
	})
	d.inbound = traffic.NewInbound(traffic.InboundOptions{
		Address: d.settings.Target, Headers: d.adapter.Headers, Metrics: metrics, Limits: limits, Log: requestLog,
		Observe: func(sums []model.KeyedSum, running int, arrived time.Time) bool {
			return d.loop.ObserveTarget(effect.TargetOutcomesObserved{Sums: sums, Running: running, Arrived: arrived})
		},
		Leaving: d.loop.ObserveTargetLeaving,
	})
	if err := metrics.RegisterAdmissionGauges(d.inbound); err != nil {
		return err
	}
	if err := d.registerViewGauges(); err != nil {
		return err
	}
	d.ingress = traffic.NewPipelineServer(traffic.PipelineOptions{
		Handler: d.outbound, HeaderBytes: limits.HeaderBytes, Logger: d.logger, WriteTimeout: traffic.ResponseWriteTimeout, Callers: d.callers,
		HeaderTimeout: d.callerLimit(headerTimeout, func(l *model.CallerLimits) int { return l.HeaderTimeoutMS }),
		IdleTimeout:   d.callerLimit(idleTimeout, func(l *model.CallerLimits) int { return l.IdleTimeoutMS }),
	})
	if err := d.addServer("ingress", d.settings.Ingress, d.ingress); err != nil {
		return err
	}
	return d.addServer("admission", d.settings.Admission, traffic.NewServer(d.inbound, limits))
}

func (d *Sidecar) quotaSettings() quota.Settings {
	return quota.Settings{Window: d.settings.QuotaWindow, Tolerance: d.settings.QuotaTolerance, Slack: d.settings.QuotaSlack}
}

// registerViewGauges registers gauges on the view that the daemon has published.
func (d *Sidecar) registerViewGauges() error {
	err := d.metrics.RegisterGauge("sniperail_configuration_number", "Configuration number in force on this daemon.", func() float64 {
		return float64(d.loop.Table().View.Configuration.Number)
	})
	if err != nil {
		return err
	}
	err = d.metrics.RegisterGauge("sniperail_target_rate_limit", "Requests per second that the target has named as its limit; 0 is none.",
		d.inbound.RateLimit)
	if err != nil {
		return err
	}
	err = d.metrics.RegisterGauge("sniperail_target_cold_limit",
		"Requests per second that the target gets because it is cold; 0 is no limit.", d.inbound.ColdRateLimit)
	if err != nil {
		return err
	}
	if err := d.registerConfirmationGauge(); err != nil {
		return err
	}
	return d.metrics.RegisterGauge("sniperail_targets_ready", "Ready targets that this daemon knows.", func() float64 {
		return float64(countReadyTargets(d.loop))
	})
}

// countReadyTargets counts the ready targets in the current routing table.
func countReadyTargets(tables traffic.Tables) int {
	// The table may be replaced by one with fewer targets meanwhile, so it is read only once.
	targets := tables.Table().View.Targets
	ready := 0
	for i := range targets {
		if targets[i].State == model.TargetReady {
			ready++
		}
	}
	return ready
}

const (
	// headerTimeout and idleTimeout apply while the operator's configuration sets no limit.
	headerTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
)

// callerLimit returns a function that returns a limit from the configuration in force, or def if there is none.
func (d *Sidecar) callerLimit(def time.Duration, ms func(*model.CallerLimits) int) func() time.Duration {
	return func() time.Duration {
		if l := d.loop.Table().View.Configuration.Limits; l != nil && ms(l) > 0 {
			return time.Duration(ms(l)) * time.Millisecond
		}
		return def
	}
}

// maxBodyBytes bounds a request body while the operator's configuration sets no limit.
const maxBodyBytes = 64 << 20

// buildAuxiliaryServers opens the listeners for the target's reports, the readiness checks and the metrics.
func (d *Sidecar) buildAuxiliaryServers() error {
	control := d.adapter.Control(d.loop.Report, func(err error) {
		d.logger.Info("report-refused", zap.String("detail", err.Error()))
	})
	if err := d.addServer("control", d.settings.Control, newAuxiliaryServer(control)); err != nil {
		return err
	}
	if err := d.addServer("ready", d.settings.Ready, newAuxiliaryServer(d.adapter.Ready(d.Ready))); err != nil {
		return err
	}
	if d.settings.Metrics == "" {
		return nil
	}
	return d.addServer("metrics", d.settings.Metrics, newAuxiliaryServer(d.metricsHandler()))
}

// auxiliaryHeaderTimeout bounds the reading of a request header on these listeners.
const auxiliaryHeaderTimeout = 5 * time.Second

func newAuxiliaryServer(h http.Handler) *http.Server {
	return traffic.NewAuxiliaryServer(h, auxiliaryHeaderTimeout)
}

// Ready reports whether the daemon accepts new callers: it is not draining, its view is ready, and it serves requests that need an
// API key if there are any.
func (d *Sidecar) Ready() bool {
	confirmed := d.isConfirmed() // before the table; see traffic.OutboundOptions
	table := d.loop.Table()
	return !d.draining.Load() && table.View.Ready && (confirmed || !table.RequiresKeys())
}

// Run serves until ctx is done. It then drains the daemon, within the grace period: the daemon is no longer ready, callers'
// connections close after their last response, and calls in flight finish.
func (d *Sidecar) Run(ctx context.Context) {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	group.Go(func() { d.loop.Run(work) })
	group.Go(d.peerServer.Serve)
	group.Go(func() { d.inbound.Run(work) })
	for _, s := range d.servers {
		group.Go(func() {
			if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				d.logger.Error("listener-failed", zap.String("listener", s.name), zap.Error(err))
			}
		})
	}
	d.logger.Info("started", zap.String("daemon", d.settings.ID), zap.String("service", d.settings.Service),
		zap.String("data_centre", d.settings.DataCentre), zap.String("target", d.settings.Target),
		zap.Strings("seeds", d.settings.Seeds))

	<-ctx.Done()
	d.drain(work)
	stop()
	d.peerServer.Close()
	d.peerClient.Close()
	d.storeClient.Close()
	group.Wait()
	d.logger.Info("stopped")
}

// Reload applies the settings that may change while the process runs, which are the seeds. All others take effect at the next
// start.
func (d *Sidecar) Reload(ctx context.Context, next settings.Sidecar) {
	d.loop.NotifySeedsChanged(ctx, next.Seeds)
	d.logger.Info("reloaded", zap.Strings("seeds", next.Seeds))
}
