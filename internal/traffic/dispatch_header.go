package traffic

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// Headers holds the names of the headers that the callers and targets of a mesh use. An empty name is not used.
type Headers struct {
	// RequestID identifies one attempt of a caller. Targets return it, which matches a response to its request.
	RequestID string
	// Deadline holds the milliseconds for which the caller still waits.
	Deadline string
	// ExpectInstance holds the only run of the target that may execute the request.
	ExpectInstance string
	// NotExecuted marks a response of a target that did not execute the request.
	NotExecuted string
	// CallerService holds the service of the daemon that received the request from its caller.
	CallerService string
	// TenantID holds the name of the tenant whose API key the caller sent. Targets expect it where the configuration has tenants.
	TenantID string
	// InstanceID holds the run of a target in its response to a health check.
	InstanceID string
	// TargetLoad holds the load that a target reports; see parseTargetWaiting.
	TargetLoad string
	// TargetWarmup holds the milliseconds for which a target that has started recently is still cold, as a decimal number.
	TargetWarmup string
	// TargetRateLimit holds the requests per second that a target takes from all VMs together, as a decimal number. A target
	// names it in all its answers while it applies.
	TargetRateLimit string
	// TargetLeaving marks the responses of a target that is leaving.
	TargetLeaving string
}

// HeaderDispatch tells the target's daemon what the caller's daemon selected; see dispatchHeader. HeaderLoad returns the
// load of the target, see loadReport, and HeaderRate its rate limit, see rateReport. They are removed before a request or a
// response leaves the mesh.
const (
	HeaderDispatch = "Sniperail-Dispatch"
	HeaderLoad     = "Sniperail-Load"
	HeaderRate     = "Sniperail-Rate"
)

// dispatchHeader is the content of HeaderDispatch.
type dispatchHeader struct {
	// call is the id that matches the response to the request on the connection between the daemons.
	call     string
	service  model.ServiceName
	version  model.VersionName
	instance model.InstanceID
	route    model.RouteName
	caller   model.ServiceName
	priority int
	// objective is the time until the latency objective of the request, maxWait the longest wait for a slot; 0 is no limit.
	objective, maxWait time.Duration
}

const dispatchHeaderFields = 9

// sendID identifies one send of a call. A call can be sent to the same daemon twice, and the answer to the first send must not be
// taken for that to the second one.
func sendID(call string, send int) string { return call + "-" + strconv.Itoa(send) }

// String joins the fields with spaces. Names are escaped, since the operator and the targets choose them.
func (d *dispatchHeader) String() string {
	return strings.Join([]string{
		d.call, url.QueryEscape(string(d.service)), url.QueryEscape(string(d.version)), url.QueryEscape(string(d.instance)),
		url.QueryEscape(string(d.route)), url.QueryEscape(string(d.caller)),
		strconv.Itoa(d.priority), formatMicros(d.objective), formatMicros(d.maxWait),
	}, " ")
}

func formatMicros(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

// parseDispatchHeader parses HeaderDispatch.
func parseDispatchHeader(h http.Header) (dispatchHeader, bool) {
	parts := strings.Split(h.Get(HeaderDispatch), " ")
	if len(parts) != dispatchHeaderFields {
		return dispatchHeader{}, false
	}
	numbers := [3]int64{}
	for i, at := range [...]int{6, 7, 8} {
		n, err := strconv.ParseInt(parts[at], 10, 64)
		if err != nil {
			return dispatchHeader{}, false
		}
		numbers[i] = n
	}
	for i := range parts[:6] {
		name, err := url.QueryUnescape(parts[i])
		if err != nil {
			return dispatchHeader{}, false
		}
		parts[i] = name
	}
	return dispatchHeader{
		call: parts[0], service: model.ServiceName(parts[1]), version: model.VersionName(parts[2]),
		instance: model.InstanceID(parts[3]), route: model.RouteName(parts[4]), caller: model.ServiceName(parts[5]),
		priority:  int(numbers[0]),
		objective: time.Duration(numbers[1]) * time.Microsecond, maxWait: time.Duration(numbers[2]) * time.Microsecond,
	}, true
}

// loadReport is the load of a target as its daemon counts it.
type loadReport struct {
	running, queued, slots int
	// executionTime is the expected execution time of a call on the route of the request, meanExecutionTime that of any call.
	executionTime, meanExecutionTime time.Duration
	// failureRate is the smoothed fraction of calls that failed.
	failureRate float64
}

// usableSlots returns the slots that the target can use. The daemon beside it may have learned that these are fewer than announced.
func (l loadReport) usableSlots(announced int) int {
	if l.slots < 1 {
		return announced
	}
	return min(l.slots, announced)
}

const loadFields = 6

func (l loadReport) String() string {
	return strings.Join([]string{
		strconv.Itoa(l.running), strconv.Itoa(l.queued), strconv.Itoa(l.slots),
		formatMicros(l.executionTime), formatMicros(l.meanExecutionTime),
		strconv.Itoa(int(l.failureRate * 1000)),
	}, " ")
}

func parseLoad(text string) (loadReport, bool) {
	parts := strings.Split(text, " ")
	if len(parts) != loadFields {
		return loadReport{}, false
	}
	var n [loadFields]int64
	for i, part := range parts {
		v, err := strconv.ParseInt(part, 10, 64)
		if err != nil || v < 0 {
			return loadReport{}, false
		}
		n[i] = v
	}
	return loadReport{
		running: int(n[0]), queued: int(n[1]), slots: int(n[2]),
		executionTime: time.Duration(n[3]) * time.Microsecond, meanExecutionTime: time.Duration(n[4]) * time.Microsecond,
		failureRate: float64(n[5]) / 1000,
	}, true
}

// remainingTimeFrom returns the time until the deadline that the named header sets, at most limit. It returns false for an
// invalid header.
func remainingTimeFrom(h http.Header, name string, limit time.Duration) (time.Duration, bool) {
	values := h[name]
	if len(values) == 0 {
		return limit, true
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || ms < 0 || len(values) > 1 {
		return 0, false
	}
	return min(time.Duration(min(ms, limit.Milliseconds()+1))*time.Millisecond, limit), true
}
