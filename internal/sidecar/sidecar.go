// Package sidecar assembles sniperail-sidecar: a daemon that works without leaders on a platform that keeps the operator's
// configuration, with the control loop, the call path and the listeners of one process.
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

	"sniperail.example/sniperail/internal/command/catalog"
	"sniperail.example/sniperail/internal/command/retry"
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
	// storeTimeout bounds one call to the platform's store, which answers in milliseconds when it is well. A machine that
	// the store ignores tries again within the time in which a change has to be in force.
	storeTimeout     = 1500 * time.Millisecond
	storeDialTimeout = 500 * time.Millisecond
	// storeRate bounds the calls of one daemon a second, storeBurst those at once; a daemon makes a few calls for each
	// change beside it.
	storeRate  = 20
	storeBurst = 20
	// storePause and storePauseMax bound the pause after a call that the store could not take.
	storePause    = 50 * time.Millisecond
	storePauseMax = 500 * time.Millisecond
	// callersLeave is how long a draining daemon keeps its listeners open, so that callers learn that it is not ready.
	callersLeave = 2300 * time.Millisecond
	// targetServes is the first part of that, in which calls of other daemons still reach the target. The rest is for them to
	// learn that it takes no more.
	targetServes = 1500 * time.Millisecond
	// exitMargin is kept between the end of a drain and the time at which the process is killed.
	exitMargin = 700 * time.Millisecond
	// lastResponses is the time that the last responses have to be written.
	lastResponses = 100 * time.Millisecond
	// gcPercent keeps the heap small: the VM's memory belongs to the target, and the process uses a few percent of a core.
	gcPercent = 25
	// idlePeers is the number of idle connections kept to one daemon, idleTotal to all.
	idlePeers = 24
	idleTotal = 512
)

// storeKeepAlive ends a connection to the store that went silent within about two seconds: a machine whose connections
// are all lost must follow changes again after three.
var storeKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}

// Adapter translates between sniperail and the platform.
type Adapter struct {
	Operator catalog.OperatorCodec
	Store    platform.Form
	Headers  traffic.Headers
	// Control serves what the target says of itself, Ready the question whether the daemon is ready.
	Control func(report func(context.Context, model.TargetReport) model.Outcome, refused func(error)) http.Handler
	Ready   func(ready func() bool) http.Handler
}

// Sidecar is one running daemon.
type Sidecar struct {
	settings settings.Sidecar
	adapter  Adapter
	logger   *zap.Logger
	metrics  *telemetry.Metrics

	loop     *control.Loop
	peers    *peer.Client
	server   *peer.Server
	callers  *traffic.PipelineServer
	outbound *traffic.Outbound
	inbound  *traffic.Inbound
	client   *platform.Client
	servers  []*server
	draining atomic.Bool
}

// httpServer is what http.Server and traffic.PipelineServer have in common.
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

// New opens the listeners and assembles the daemon. Nothing runs before Run.
func New(s settings.Sidecar, adapter Adapter, logger *zap.Logger) (*Sidecar, error) {
	debug.SetGCPercent(gcPercent)
	metrics, err := telemetry.NewMetrics("sniperail-sidecar")
	if err != nil {
		return nil, err
	}
	d := &Sidecar{settings: s, adapter: adapter, logger: logger, metrics: metrics}
	for _, step := range []func() error{d.buildControl, d.buildTraffic, d.buildEdges} {
		if err := step(); err != nil {
			d.closeListeners()
			return nil, err
		}
	}
	return d, nil
}

func (d *Sidecar) closeListeners() {
	if d.server != nil {
		d.server.Close()
	}
	for _, s := range d.servers {
		_ = s.listener.Close()
	}
}

// serve opens the listener of a server.
func (d *Sidecar) serve(name, address string, h httpServer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "--%s", name)
	}
	if s, ok := h.(*http.Server); ok {
		s.ErrorLog, _ = zap.NewStdLogAt(d.logger, zapcore.DebugLevel)
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
	core := catalog.New(catalog.Config{
		Target: model.Target{
			Daemon: model.DaemonID(d.settings.ID), Incarnation: model.Incarnation(time.Now().UnixNano()),
			Service:    model.ServiceName(d.settings.Service),
			DataCentre: model.DataCentre(d.settings.DataCentre), Region: model.Region(d.settings.Region),
			Address: d.settings.Advertised(d.settings.Admission), PeerAddress: d.settings.Advertised(d.settings.Peer),
			State: model.TargetStarting,
		},
		Seeds: d.settings.Seeds, Operator: d.adapter.Operator, Records: document.JSON{}, Rand: process.NewRand(),
		MinLease: d.settings.MinLease,
	})
	counted := d.metrics.ControlBytes()
	d.peers = peer.NewClient(counted)
	d.loop = control.NewLoop(core, d.peers, gate, d.logger, d.metrics)
	d.loop.OnAskTarget(d.askTarget)
	d.loop.OnPublish(func(view *model.View) {
		d.inbound.SetTarget(view.Local, d.loop.Table().IsWithheld(view.Local.Ref()))
	})
	d.server, err = peer.NewServer(listener, d.loop, counted)
	if err != nil {
		return err
	}
	d.server.OnRefused(func(address string, err error) {
		d.logger.Warn("peer-refused", zap.String("address", address), zap.Error(err))
	})
	return nil
}

func (d *Sidecar) connectStore() (*platform.Gate, error) {
	client, err := platform.NewClient(platform.ClientConfig{
		Endpoints: []string{d.settings.Platform}, Timeout: storeTimeout, DialTimeout: storeDialTimeout,
		Form: d.adapter.Store, KeepAlive: storeKeepAlive,
	})
	if err != nil {
		return nil, err
	}
	d.client = client
	return platform.NewGate(client, platform.GateConfig{
		WritesPerSecond: storeRate, WriteBurst: storeBurst, ReadsPerSecond: storeRate, ReadBurst: storeBurst,
		BackoffBase: storePause, BackoffMax: storePauseMax,
		Count: platform.CountInto(d.metrics.CounterSet("sniperail_platform_calls",
			"Calls to the platform's store by kind, reason and outcome.")),
	})
}

func (d *Sidecar) buildTraffic() error {
	metrics, err := traffic.NewMetrics(d.metrics)
	if err != nil {
		return err
	}
	metrics.FractionalRetryAfter = true
	limits := traffic.DefaultLimits()
	limits.IdlePerPeer, limits.IdleTotal, limits.BodyBytes = idlePeers, idleTotal, maxBody
	log := traffic.RequestLog{Logger: d.logger, RequestID: d.adapter.Headers.RequestID}
	d.outbound = traffic.NewOutbound(traffic.OutboundOptions{
		Tables: d.loop, Headers: d.adapter.Headers, Metrics: metrics, Limits: limits, Log: log,
		Service: model.ServiceName(d.settings.Service),
		Budget:  retry.SharedLimit{Ratio: d.settings.RetryRatio, Slack: d.settings.RetrySlack, Window: d.settings.RetryWindow},
	})
	d.inbound = traffic.NewInbound(traffic.InboundOptions{
		Address: d.settings.Target, Headers: d.adapter.Headers, Metrics: metrics, Limits: limits, Log: log,
		Observe: func(sums []model.KeyedSum, running int, arrived time.Time) bool {
			return d.loop.ObserveTarget(effect.TargetOutcomesObserved{Sums: sums, Running: running, Arrived: arrived})
		},
	})
	if err := metrics.WatchAdmission(d.inbound); err != nil {
		return err
	}
	if err := d.watchView(); err != nil {
		return err
	}
	d.callers = traffic.NewPipelineServer(traffic.PipelineOptions{
		Handler: d.outbound, HeaderBytes: limits.HeaderBytes, Logger: d.logger,
		HeaderTimeout: d.callerLimit(headerTimeout, func(l *model.CallerLimits) int { return l.HeaderTimeoutMS }),
		IdleTimeout:   d.callerLimit(callerIdle, func(l *model.CallerLimits) int { return l.IdleTimeoutMS }),
	})
	if err := d.serve("ingress", d.settings.Ingress, d.callers); err != nil {
		return err
	}
	return d.serve("admission", d.settings.Admission, traffic.NewServer(d.inbound, limits))
}

// watchView adds gauges of what the daemon believes.
func (d *Sidecar) watchView() error {
	err := d.metrics.Gauge("sniperail_configuration_number", "Configuration number in force on this daemon.", func() float64 {
		return float64(d.loop.Table().View.Configuration.Number)
	})
	if err != nil {
		return err
	}
	return d.metrics.Gauge("sniperail_targets_ready", "Ready targets that this daemon knows.", func() float64 {
		return float64(readyTargets(d.loop))
	})
}

// readyTargets counts the ready targets of the table in use.
func readyTargets(tables traffic.Tables) int {
	// The next table may have fewer targets, so all reads are of one.
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
	// headerTimeout and callerIdle hold while the operator sets no limit.
	headerTimeout = 5 * time.Second
	callerIdle    = 90 * time.Second
)

// callerLimit returns a limit of the operator's configuration in force, or a default.
func (d *Sidecar) callerLimit(def time.Duration, ms func(*model.CallerLimits) int) func() time.Duration {
	return func() time.Duration {
		if l := d.loop.Table().View.Configuration.Limits; l != nil && ms(l) > 0 {
			return time.Duration(ms(l)) * time.Millisecond
		}
		return def
	}
}

// maxBody bounds a request body while the operator sets no limit.
const maxBody = 64 << 20

// buildEdges opens the listeners for the target, the platform and the metrics.
func (d *Sidecar) buildEdges() error {
	control := d.adapter.Control(d.loop.Report, func(err error) {
		d.logger.Info("report-refused", zap.String("detail", err.Error()))
	})
	if err := d.serve("control", d.settings.Control, edge(control)); err != nil {
		return err
	}
	if err := d.serve("ready", d.settings.Ready, edge(d.adapter.Ready(d.Ready))); err != nil {
		return err
	}
	if d.settings.Metrics == "" {
		return nil
	}
	return d.serve("metrics", d.settings.Metrics, edge(d.metrics.Handler()))
}

// edgeTimeout bounds the reading of a request header on the small listeners.
const edgeTimeout = 5 * time.Second

func edge(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: edgeTimeout}
}

// Ready reports whether the daemon takes new callers.
func (d *Sidecar) Ready() bool {
	return !d.draining.Load() && d.loop.Table().View.Ready
}

// Run serves until ctx ends, then drains: callers are sent away, calls in flight finish, and the process can end within
// the grace period. Ending abort ends it without that.
func (d *Sidecar) Run(ctx, abort context.Context) {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	group.Go(func() { d.loop.Run(work) })
	group.Go(d.server.Serve)
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
	d.drain(abort)
	stop()
	d.server.Close()
	d.peers.Close()
	d.client.Close()
	group.Wait()
	d.logger.Info("stopped")
}

// drain takes the daemon out of service without cutting a call.
func (d *Sidecar) drain(abort context.Context) {
	started := time.Now()
	d.logger.Info("stopping", zap.Int("requests", d.outbound.InFlight()), zap.Int("calls", d.inbound.InFlight()))
	d.draining.Store(true)
	d.callers.Drain()
	process.Wait(abort, targetServes)
	d.loop.Stopping(abort)
	process.Wait(abort, callersLeave-targetServes)
	for _, s := range d.servers {
		if s.http == d.callers {
			_ = s.listener.Close()
		}
	}
	d.callers.Refuse()
	limited, cancel := context.WithDeadline(abort, started.Add(d.settings.Grace-exitMargin))
	defer cancel()
	if d.outbound.Wait(limited) != nil || d.inbound.Wait(limited) != nil {
		d.logger.Warn("stopping-cuts", zap.Int("requests", d.outbound.InFlight()), zap.Int("calls", d.inbound.InFlight()))
	}
	// The last responses are on their way to their callers.
	process.Wait(abort, lastResponses)
	for _, s := range d.servers {
		_ = s.http.Close()
	}
}

// Reload takes the settings that may change while the process runs. Other settings take effect only at the next start.
func (d *Sidecar) Reload(ctx context.Context, next settings.Sidecar) {
	d.loop.SeedsChanged(ctx, next.Seeds)
	d.logger.Info("reloaded", zap.Strings("seeds", next.Seeds))
}
