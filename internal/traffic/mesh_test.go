package traffic_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
	"sniperail.example/sniperail/internal/telemetry"
	_ "sniperail.example/sniperail/internal/testseed"
	"sniperail.example/sniperail/internal/traffic"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// mesh is an ingress, and for each handler a target with its daemon, on loopback listeners.
type mesh struct {
	t           *testing.T
	table       atomic.Pointer[routing.Table]
	metrics     *telemetry.Metrics
	instruments *traffic.Metrics
	ingress     *traffic.Ingress
	admissions  []*traffic.Admission
	url         string
	mu          sync.Mutex
	sums        map[model.OutcomeKey]model.OutcomeSum
	once        traffic.Once
}

func (m *mesh) Table() *routing.Table { return m.table.Load() }

func (m *mesh) Observe(sums []model.KeyedSum) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range sums {
		sum := m.sums[s.OutcomeKey]
		sum.Add(s.OutcomeSum)
		m.sums[s.OutcomeKey] = sum
	}
	return true
}

// newMesh starts a mesh with a target per handler, all of version v1.
func newMesh(t *testing.T, once traffic.Once, handlers ...http.HandlerFunc) *mesh {
	t.Helper()
	registry, err := telemetry.NewMetrics("test")
	if err != nil {
		t.Fatal(err)
	}
	metrics, err := traffic.NewMetrics(registry)
	if err != nil {
		t.Fatal(err)
	}
	m := &mesh{t: t, metrics: registry, sums: map[model.OutcomeKey]model.OutcomeSum{}, once: once}
	view := &model.View{Ready: true, DataCentre: "a", Region: "r", Configuration: &model.Configuration{
		Services: []model.Service{{Name: "s", Versions: []model.VersionShare{{Version: "v1", Share: model.FullShare}}}},
		Routes: []model.Route{
			{Name: "all", Service: "s", PathPrefix: "/"},
			{Name: "once", Service: "s", PathPrefix: "/once", Once: &model.Once{DigestFields: []string{"n"}, WindowSeconds: 60}},
			{Name: "short", Service: "s", PathPrefix: "/short", TimeoutMS: 100},
		},
	}}
	m.table.Store(routing.NewTable(view))
	m.instruments = metrics
	for _, h := range handlers {
		target := httptest.NewServer(h)
		t.Cleanup(target.Close)
		m.addTarget(target.Listener.Addr().String(), admission.Settings{Slots: 2, Connections: 4, Queue: 2})
	}
	m.ingress = traffic.NewIngress(traffic.IngressOptions{Tables: m, Observer: m, Metrics: metrics, Limits: traffic.DefaultLimits()})
	m.url = "http://" + m.startServer(m.ingress)
	t.Cleanup(m.ingress.Close)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return m
}

// addTarget starts a daemon for the target at an address and adds it to the view.
func (m *mesh) addTarget(address string, settings admission.Settings) {
	a := traffic.NewAdmission(traffic.AdmissionOptions{
		Address: address, Service: "s", Version: "v1", Tables: m, Metrics: m.instruments, Once: m.once,
		Settings: settings, Limits: traffic.DefaultLimits(),
	})
	a.SetTarget(model.TargetReady)
	target := model.Target{
		Daemon: model.DaemonID("d" + string(rune('0'+len(m.admissions)))), Service: "s", Version: "v1", DataCentre: "a", Region: "r",
		Address: m.startServer(a), State: model.TargetReady,
	}
	m.admissions = append(m.admissions, a)
	m.t.Cleanup(a.Close)
	m.updateView(func(v *model.View) { v.Targets = append(v.Targets, target) })
}

func (m *mesh) startServer(h http.Handler) string {
	return serveStandard(m.t, h)
}

// runIngress runs the ingress until the test ends.
func (m *mesh) runIngress() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { m.ingress.Run(ctx) })
	m.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// updateView publishes a changed copy of the view.
func (m *mesh) updateView(f func(*model.View)) {
	view := *m.table.Load().View
	configuration := *view.Configuration
	view.Configuration = &configuration
	view.Targets = append([]model.Target(nil), view.Targets...)
	f(&view)
	m.table.Store(routing.NewTable(&view))
}

// fillRetryBudget makes successful calls to the path /earn, each of which adds to the retry budget.
func (m *mesh) fillRetryBudget(calls int) {
	m.t.Helper()
	for range calls {
		if a := m.call("GET", "/earn", ""); a.status != http.StatusOK {
			m.t.Fatalf("call to fill the retry budget: %+v", a)
		}
	}
}

type callResult struct {
	status   int
	body     string
	err      error
	refusal  string
	executed string
	header   http.Header
}

func (m *mesh) call(method, path, body string, header ...string) callResult {
	return m.callContext(context.Background(), method, path, strings.NewReader(body), header...)
}

func (m *mesh) callContext(ctx context.Context, method, path string, body io.Reader, header ...string) callResult {
	r, err := http.NewRequestWithContext(ctx, method, m.url+path, body)
	if err != nil {
		m.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callResult{
		response.StatusCode, string(text), err,
		response.Header.Get(traffic.HeaderRefusal), response.Header.Get(traffic.HeaderExecuted), response.Header,
	}
}

// sendRaw sends bytes to the ingress and returns all bytes that it receives until the ingress closes the connection.
func (m *mesh) sendRaw(request string) string {
	conn, err := net.Dial("tcp", strings.TrimPrefix(m.url, "http://"))
	if err != nil {
		m.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, request); err != nil {
		m.t.Fatal(err)
	}
	all, _ := io.ReadAll(bufio.NewReader(conn))
	return string(all)
}

// scrape returns the metrics as text.
func (m *mesh) scrape() string {
	w := httptest.NewRecorder()
	m.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

// respondRawAndClose writes the given raw bytes and closes the connection.
func respondRawAndClose(bytes string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, bytes)
		_ = conn.Close()
	}
}

func okHandler(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(append([]byte("ok "+r.URL.Path+" "), body...))
}

// waitUntil polls until a condition holds.
func waitUntil(condition func() bool) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		<-ticker.C
	}
}
