package model

import (
	"slices"
	"time"
)

// MaxDocumentBytes is the size of the largest value that the platform's key-value service stores.
const MaxDocumentBytes = 1 << 20

// Configuration is the single document that operators' commands change. It is immutable once published; use Clone to
// get a copy that may be changed.
type Configuration struct {
	Number   Number    `json:"number"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes"`
	// Tenants are the holders of API keys. If there are any, requests need a key unless their route is public.
	Tenants   []Tenant     `json:"tenants,omitempty"`
	Moves     []Move       `json:"moves,omitempty"`
	Withdrawn []VersionRef `json:"withdrawn,omitempty"`
	Dashboard *Dashboard   `json:"dashboard,omitempty"`
	Events    []MoveEvent  `json:"events,omitempty"`
	LastEvent uint64       `json:"lastEvent,omitempty"`
	LastWrite WriteStamp   `json:"lastWrite"`
	Recent    []WriteStamp `json:"recent,omitempty"`
	// Limits bounds requests and connections of callers; nil means the daemon's built-in limits.
	Limits *CallerLimits `json:"limits,omitempty"`
}

// CallerLimits bounds requests and connections of callers. A zero field sets no limit.
type CallerLimits struct {
	HeaderBytes     int   `json:"headerBytes,omitempty"`
	BodyBytes       int64 `json:"bodyBytes,omitempty"`
	HeaderTimeoutMS int   `json:"headerTimeoutMs,omitempty"`
	// IdleTimeoutMS is how long a caller may keep a connection open without a request, in milliseconds.
	IdleTimeoutMS int `json:"idleTimeoutMs,omitempty"`
}

// WriteStamp identifies the write that produced a configuration number. A writer that got no response from the platform
// looks for the ID of its write in Configuration.Recent to learn whether the write took effect.
type WriteStamp struct {
	ID     string    `json:"id"`
	By     string    `json:"by"`
	At     time.Time `json:"at"`
	Number Number    `json:"number"`
}

// Service is a set of versions and the share of calls that each version receives.
type Service struct {
	Name      ServiceName    `json:"name"`
	Customer  string         `json:"customer,omitempty"`
	Versions  []VersionShare `json:"versions"`
	DependsOn []ServiceName  `json:"dependsOn,omitempty"`
	// Changed is the configuration number of the last change that affects this service or one of its routes.
	Changed Number `json:"changed,omitempty"`
	// Connections is the number of connections that each target of the service accepts; 0 means the announced one.
	Connections int `json:"connections,omitempty"`
	// HealthPath is the path at which a target reports its health and its instance; empty means that there is none.
	HealthPath string `json:"healthPath,omitempty"`
	// WarmupPerSecond is the number of requests per second that a target of the service tolerates while it is cold; 0 means
	// no limit. WarmupMS is how long a target is cold after its start.
	WarmupPerSecond float64 `json:"warmupPerSecond,omitempty"`
	WarmupMS        int     `json:"warmupMs,omitempty"`
}

// VersionShare is the share of a service's calls that one version receives. The shares of a service sum to FullShare.
type VersionShare struct {
	Version VersionName `json:"version"`
	Share   Share       `json:"share"`
}

// Route maps requests to a service by host and the longest matching path prefix.
type Route struct {
	Name    RouteName   `json:"name"`
	Service ServiceName `json:"service"`
	// Split divides the requests among several services; Service is then empty.
	Split []ServiceWeight `json:"split,omitempty"`
	// Host limits the route to requests for this host; empty means any host.
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"pathPrefix"`
	// Methods limits the route to these HTTP methods; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Idempotent allows retries of methods that HTTP does not define as idempotent.
	Idempotent bool `json:"idempotent,omitempty"`
	// Once makes each identified request run at most once; nil means no deduplication.
	Once *Once `json:"once,omitempty"`
	// TimeoutMS is the total deadline of a call in milliseconds; 0 means DefaultTimeoutMS.
	TimeoutMS int `json:"timeoutMs,omitempty"`
	// TargetLatencyMS is the latency objective of the route in milliseconds: a response within that time has its full
	// value. 0 means the timeout.
	TargetLatencyMS int `json:"targetLatencyMs,omitempty"`
	// MaxAttempts bounds the number of targets that one request is sent to; 0 means the daemon's built-in limit.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Priority ranks the route; 0 is the most important.
	Priority int `json:"priority,omitempty"`
	// Public lets requests without an API key pass.
	Public bool `json:"public,omitempty"`
}

// ServiceWeight sets the fraction of a route's requests that a service receives, relative to the other weights.
type ServiceWeight struct {
	Service ServiceName `json:"service"`
	Weight  int         `json:"weight"`
}

// Services returns the services that a route leads to.
func (r *Route) Services() []ServiceWeight {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []ServiceWeight{{Service: r.Service, Weight: 1}}
}

// DefaultTimeoutMS is the total deadline of a call on a route that sets none.
const DefaultTimeoutMS = 5_000

// LeadsTo reports whether requests of the route reach a service.
func (r *Route) LeadsTo(service ServiceName) bool {
	return slices.ContainsFunc(r.Services(), func(part ServiceWeight) bool { return part.Service == service })
}

// Once defines how requests on a non-idempotent route are identified.
type Once struct {
	// Header names the request header that carries the identity; empty means Idempotency-Key.
	Header string `json:"header,omitempty"`
	// DigestFields names JSON fields of the body whose digest identifies the request when the header is missing.
	DigestFields []string `json:"digestFields,omitempty"`
	// WindowSeconds is the minimum time for which requests with the same digest are treated as one request. Claims are
	// kept for a day, so a longer window has no effect.
	WindowSeconds int `json:"windowSeconds,omitempty"`
}

// Dashboard lets operators keep the metric names and labels of their existing dashboards.
type Dashboard struct {
	MoveMetric string            `json:"moveMetric,omitempty"`
	Labels     map[string]string `json:"labels,omitempty"`
}

// Service returns the named service, or nil.
func (c *Configuration) Service(name ServiceName) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Move returns the move with the given plan ID, or nil.
func (c *Configuration) Move(id PlanID) *Move {
	for i := range c.Moves {
		if c.Moves[i].ID == id {
			return &c.Moves[i]
		}
	}
	return nil
}

// ActiveMove returns the unfinished move of a service, or nil. A service has at most one.
func (c *Configuration) ActiveMove(service ServiceName) *Move {
	for i := range c.Moves {
		if c.Moves[i].Service == service && c.Moves[i].Phase.Active() {
			return &c.Moves[i]
		}
	}
	return nil
}

// IsWithdrawn reports whether a version is in the withdrawn list.
func (c *Configuration) IsWithdrawn(ref VersionRef) bool {
	for _, w := range c.Withdrawn {
		if w == ref {
			return true
		}
	}
	return false
}

// Version returns the share entry of a version, or nil.
func (s *Service) Version(name VersionName) *VersionShare {
	for i := range s.Versions {
		if s.Versions[i].Version == name {
			return &s.Versions[i]
		}
	}
	return nil
}
