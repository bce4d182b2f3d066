package openloop

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/standin/target"
	"sniperail.example/sniperail/internal/telemetry"
	"sniperail.example/sniperail/internal/traffic"
)

// Mesh runs one ingress and several targets, each with its own admission, on loopback listeners of this process.
type Mesh struct {
	// IngressURL reaches the targets through ingress and admission, TargetURLs reach them directly.
	IngressURL string
	TargetURLs []string
	Targets    []*target.Target

	table   *routing.Table
	servers []*http.Server
	cancel  context.CancelFunc
	ingress *traffic.Ingress
}

// Table implements traffic.Tables.
func (m *Mesh) Table() *routing.Table { return m.table }

// Observe implements traffic.Observer.
func (m *Mesh) Observe([]model.KeyedSum) bool { return true }

// NewMesh starts a mesh with one target per target.Config.
func NewMesh(settings admission.Settings, targets ...target.Config) (*Mesh, error) {
	registry, err := telemetry.NewMetrics("bench")
	if err != nil {
		return nil, err
	}
	metrics, err := traffic.NewMetrics(registry)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	const service, version = model.ServiceName("bench"), model.VersionName("v1")
	limits := traffic.DefaultLimits()
	m := &Mesh{}
	view := &model.View{Ready: true, DataCentre: "a", Region: "r", Configuration: &model.Configuration{
		Number:   1,
		Services: []model.Service{{Name: service, Versions: []model.VersionShare{{Version: version, Share: model.FullShare}}}},
		Routes:   []model.Route{{Name: "all", Service: service, PathPrefix: "/"}},
	}}
	for i, config := range targets {
		t := target.New(config)
		address, err := m.serve(&http.Server{Handler: t, ReadHeaderTimeout: time.Second})
		if err != nil {
			return nil, err
		}
		a := traffic.NewAdmission(traffic.AdmissionOptions{
			Address: address, Service: service, Version: version, Settings: settings, Tables: m, Metrics: metrics, Limits: limits,
		})
		a.SetTarget(model.TargetReady)
		admissionAddress, err := m.serve(traffic.NewServer(a, limits))
		if err != nil {
			return nil, err
		}
		m.Targets = append(m.Targets, t)
		m.TargetURLs = append(m.TargetURLs, "http://"+address)
		view.Targets = append(view.Targets, model.Target{
			Daemon: model.DaemonID(fmt.Sprintf("daemon-%02d", i)), Service: service, Version: version, Address: admissionAddress,
			DataCentre: "a", Region: "r", State: model.TargetReady, Slots: settings.Slots,
		})
	}
	m.table = routing.NewTable(view)
	m.ingress = traffic.NewIngress(traffic.IngressOptions{Tables: m, Observer: m, Metrics: metrics, Limits: limits})
	address, err := m.serve(traffic.NewServer(m.ingress, limits))
	if err != nil {
		return nil, err
	}
	m.IngressURL = "http://" + address
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go m.ingress.Run(ctx)
	return m, nil
}

func (m *Mesh) serve(server *http.Server) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	m.servers = append(m.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with Close
	return listener.Addr().String(), nil
}

// Executions returns the number of calls that the targets executed.
func (m *Mesh) Executions() int {
	total := 0
	for _, t := range m.Targets {
		total += t.Counts().Executions
	}
	return total
}

// Close stops the ingress and all listeners.
func (m *Mesh) Close() {
	if m.cancel != nil {
		m.cancel()
	}
	for _, s := range m.servers {
		_ = s.Close()
	}
	if m.ingress != nil {
		m.ingress.Close()
	}
}
