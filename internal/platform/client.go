// Package platform implements store.Store on top of the platform's key-value service over HTTP. Client sends the calls in
// the encoding of a Protocol; EtcdProtocol is the etcd v3 JSON API. Gate limits the call rate of one daemon.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/store"
)

// maxResponseBytes bounds the size of one response: the service holds values of up to 1 MB, and a list may return several.
const maxResponseBytes = 16 << 20

// maxIdleConnsPerEndpoint lets workers reuse a connection between calls without keeping one open per concurrent call.
const maxIdleConnsPerEndpoint = 4

// defaultKeepAlive closes a connection 5 s after its other side became unreachable. An idle watch sends nothing, so with
// the system's defaults a partition would be detected only after minutes, but a change has to be in force within 13 s.
var defaultKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Endpoints are base URLs such as http://127.0.0.1:2379. A read that fails at one endpoint is sent to the next one; a
	// write only if the failed endpoint certainly did not execute it.
	Endpoints []string
	// Timeout bounds one call over all endpoints, and the time until the response header of a watch.
	Timeout time.Duration
	// DialTimeout bounds one connection attempt, so that an endpoint that drops packets leaves time for the other
	// endpoints. 0 means half of Timeout.
	DialTimeout time.Duration
	// Protocol is the encoding of calls that the service understands; nil means EtcdProtocol.
	Protocol Protocol
	// KeepAlive replaces defaultKeepAlive if it is enabled.
	KeepAlive net.KeepAliveConfig
}

// Check returns one error for each invalid field.
func (c ClientConfig) Check() []error {
	var problems []error
	if len(c.Endpoints) == 0 {
		problems = append(problems, errors.New("endpoints: at least one base URL is required"))
	}
	for _, endpoint := range c.Endpoints {
		parsed, err := url.Parse(endpoint)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			problems = append(problems, errors.Errorf("endpoints: %q is not a base URL such as http://127.0.0.1:2379", endpoint))
		}
	}
	if c.Timeout <= 0 {
		problems = append(problems, errors.Errorf("timeout: %s is not above 0", c.Timeout))
	}
	if c.DialTimeout < 0 {
		problems = append(problems, errors.Errorf("dial timeout: %s is below 0", c.DialTimeout))
	}
	return problems
}

// Client is a store.Store over HTTP. It is safe for concurrent use. Its only state is its connections and the endpoint
// in use.
type Client struct {
	endpoints       []string
	timeout         time.Duration
	protocol        Protocol
	http            *http.Client
	transport       *http.Transport
	currentEndpoint atomic.Uint64
}

var _ store.Store = (*Client)(nil)

// NewClient returns a client, or an error that names every invalid field.
func NewClient(config ClientConfig) (*Client, error) {
	if problems := config.Check(); len(problems) > 0 {
		return nil, errors.Errorf("platform client: %v", problems)
	}
	dialTimeout := config.DialTimeout
	if dialTimeout == 0 {
		dialTimeout = config.Timeout / 2
	}
	keepAlive := config.KeepAlive
	if !keepAlive.Enable {
		keepAlive = defaultKeepAlive
	}
	protocol := config.Protocol
	if protocol == nil {
		protocol = EtcdProtocol{}
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerEndpoint,
		IdleConnTimeout:     time.Minute,
		ForceAttemptHTTP2:   false,
	}
	return &Client{
		endpoints: config.Endpoints, timeout: config.Timeout, transport: transport, protocol: protocol,
		http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}, nil
}

// refuseRedirect stops the HTTP client from following redirects, because it would send a write twice.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do performs one call within the timeout and ctx. It reads all pages of a list. The revision of the result is that of the
// first page, so that a watch from that revision misses no change.
func (c *Client) Do(ctx context.Context, call store.Call) store.Result {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	result := c.doOnce(ctx, call)
	for page := result; page.Truncated && page.Outcome == store.Applied; {
		after := lastKey(page)
		if after <= call.After {
			return store.Result{Outcome: store.Unavailable, Detail: "a page of the list does not say where the next one begins"}
		}
		call.After = after
		if page = c.doOnce(ctx, call); page.Outcome != store.Applied {
			return page
		}
		if page.Era != result.Era {
			return store.Result{Outcome: store.Unavailable, Era: page.Era, Detail: "the service changed its era between two pages of the list"}
		}
		result.Entries = append(result.Entries, page.Entries...)
		result.Skipped = append(result.Skipped, page.Skipped...)
	}
	result.Truncated = false
	return result
}

// lastKey returns the highest key of a page, which unreadable entries may have too.
func lastKey(page store.Result) string {
	last := ""
	for i := range page.Entries {
		last = max(last, page.Entries[i].Key)
	}
	for i := range page.Skipped {
		last = max(last, page.Skipped[i].Key)
	}
	return last
}

// doOnce performs one call. It starts with the endpoint in use and tries the next ones while callEndpoint allows it.
func (c *Client) doOnce(ctx context.Context, call store.Call) store.Result {
	request, err := c.protocol.Encode(call)
	if err != nil {
		return store.Result{Outcome: store.Unavailable, Detail: err.Error()}
	}
	var last store.Result
	start := c.currentEndpoint.Load()
	for i := range c.endpoints {
		index := start + uint64(i)
		var next bool
		last, next = c.callEndpoint(ctx, c.endpoints[index%uint64(len(c.endpoints))], call, request)
		if !next || ctx.Err() != nil {
			return last
		}
		c.currentEndpoint.CompareAndSwap(index, index+1)
	}
	return last
}

// callEndpoint sends a call to one endpoint. The second result reports whether another endpoint may be tried: this endpoint
// is at fault, and the call is a read or had no effect.
func (c *Client) callEndpoint(ctx context.Context, endpoint string, call store.Call, request Request) (store.Result, bool) {
	response, sent, err := c.send(ctx, endpoint, request)
	if err != nil {
		return ClassifyFailure(call, sent, err), !sent || !call.Kind.IsWrite()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readResponse(call.Kind, response)
	if err != nil {
		return ClassifyFailure(call, true, err), !call.Kind.IsWrite()
	}
	result := c.protocol.Decode(call, Response{Status: response.StatusCode, Header: response.Header, Body: body})
	return result, result.Outcome == store.Unavailable && response.StatusCode >= http.StatusInternalServerError
}

// send sends a request. The result sent is false only if no connection was obtained: bytes written to a connection may have
// arrived.
func (c *Client) send(ctx context.Context, endpoint string, r Request) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, r.Method, endpoint+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, false, errors.WithStack(err)
	}
	if len(r.Body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err = c.http.Do(request)
	return response, connected.Load(), errors.WithStack(err)
}

// readResponse returns the whole body, or only the first message of a keep-alive stream, which the service may leave open.
func readResponse(kind store.Kind, response *http.Response) ([]byte, error) {
	limited := io.LimitReader(response.Body, maxResponseBytes+1)
	if kind == store.KindKeepAlive && response.StatusCode == http.StatusOK {
		var message json.RawMessage
		err := json.NewDecoder(limited).Decode(&message)
		return message, errors.Wrap(err, "keep-alive stream")
	}
	body, err := io.ReadAll(limited)
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Errorf("response over %d bytes", maxResponseBytes)
	}
	return body, errors.WithStack(err)
}

// ClassifyFailure returns the result of a call that got no usable response. A write that was sent has an unknown outcome; a
// read, or a write that was not sent, had no effect.
func ClassifyFailure(call store.Call, sent bool, err error) store.Result {
	if sent && call.Kind.IsWrite() {
		return store.Result{Outcome: store.Unknown, Detail: fmt.Sprintf("response lost: %v", err)}
	}
	return store.Result{Outcome: store.Unavailable, Detail: err.Error()}
}
