// Package platform performs the calls of store.Store on the platform's key-value service over HTTP, and holds the gate
// that bounds the calls of one daemon. A Form encodes the calls; EtcdForm speaks the etcd v3 JSON API.
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

// maxAnswer bounds the bytes read from one answer: the service holds values up to 1 MB, and a list may return several.
const maxAnswer = 16 << 20

// maxIdlePerEndpoint keeps a worker's connection open between calls without holding one per concurrent call.
const maxIdlePerEndpoint = 4

// defaultKeepAlive ends a connection whose other side is unreachable after 5 s. An idle watch sends nothing, so by default
// a partition would show only after minutes, while a change has to be in force within 13 s.
var defaultKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Endpoints are base URLs such as http://127.0.0.1:2379. A call that surely was not executed by one endpoint goes
	// to the next one.
	Endpoints []string
	// Timeout bounds one call over all endpoints, and the start of a watch.
	Timeout time.Duration
	// DialTimeout bounds one connection attempt, so that an endpoint that drops packets leaves time for the others.
	DialTimeout time.Duration
	// Form is the form of calls that the service speaks; nil means EtcdForm.
	Form Form
	// KeepAlive overrides how soon an unreachable service ends an idle connection.
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

// Client is a store.Store over HTTP. It is safe for concurrent use and holds no state besides connections and the
// endpoint in use.
type Client struct {
	endpoints []string
	timeout   time.Duration
	form      Form
	http      *http.Client
	transport *http.Transport
	current   atomic.Uint64
}

var _ store.Store = (*Client)(nil)

// NewClient returns a client, or an error that names every invalid field.
func NewClient(config ClientConfig) (*Client, error) {
	if problems := config.Check(); len(problems) > 0 {
		return nil, errors.Errorf("platform client: %v", problems)
	}
	dial := config.DialTimeout
	if dial == 0 {
		dial = config.Timeout / 2
	}
	keepAlive := config.KeepAlive
	if !keepAlive.Enable {
		keepAlive = defaultKeepAlive
	}
	form := config.Form
	if form == nil {
		form = EtcdForm{}
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dial, KeepAliveConfig: keepAlive}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		IdleConnTimeout:     time.Minute,
		ForceAttemptHTTP2:   false,
	}
	return &Client{
		endpoints: config.Endpoints, timeout: config.Timeout, transport: transport, form: form,
		http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}, nil
}

// refuseRedirect keeps a write from being sent twice.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do performs one call within the timeout and ctx. A list that the service cuts into pages is read to its end; its
// revision is that of the first page, so that a watch from there misses no change.
func (c *Client) Do(ctx context.Context, call store.Call) store.Result {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	result := c.do(ctx, call)
	for page := result; page.Truncated && page.Outcome == store.Applied && len(page.Entries) > 0; {
		call.After = page.Entries[len(page.Entries)-1].Key
		if page = c.do(ctx, call); page.Outcome != store.Applied {
			return page
		}
		result.Entries = append(result.Entries, page.Entries...)
	}
	result.Truncated = false
	return result
}

// do performs one call on the first endpoint that takes it.
func (c *Client) do(ctx context.Context, call store.Call) store.Result {
	request, err := c.form.Encode(call)
	if err != nil {
		return store.Result{Outcome: store.Unavailable, Detail: err.Error()}
	}
	var last store.Result
	start := c.current.Load()
	for i := range c.endpoints {
		at := start + uint64(i)
		var next bool
		last, next = c.try(ctx, c.endpoints[at%uint64(len(c.endpoints))], call, request)
		if !next || ctx.Err() != nil {
			return last
		}
		c.current.CompareAndSwap(at, at+1)
	}
	return last
}

// try sends a call to one endpoint. It reports whether another endpoint may be tried: the call had no effect here and
// the endpoint is at fault.
func (c *Client) try(ctx context.Context, endpoint string, call store.Call, request Request) (store.Result, bool) {
	response, sent, err := c.send(ctx, endpoint, request)
	if err != nil {
		return Lost(call, sent, err), !sent || !call.Kind.IsWrite()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readAnswer(call.Kind, response)
	if err != nil {
		return Lost(call, true, err), !call.Kind.IsWrite()
	}
	result := c.form.Decode(call, response.StatusCode, body)
	return result, result.Outcome == store.Unavailable && response.StatusCode >= http.StatusInternalServerError
}

// send sends a request. Sent is false only if no connection was obtained, because bytes on a connection may have arrived.
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

// readAnswer returns the whole body, or the first message of a keep-alive stream, which the service may leave open.
func readAnswer(kind store.Kind, response *http.Response) ([]byte, error) {
	limited := io.LimitReader(response.Body, maxAnswer+1)
	if kind == store.KindKeepAlive && response.StatusCode == http.StatusOK {
		var message json.RawMessage
		err := json.NewDecoder(limited).Decode(&message)
		return message, errors.Wrap(err, "keep-alive stream")
	}
	body, err := io.ReadAll(limited)
	if err == nil && len(body) > maxAnswer {
		err = errors.Errorf("answer over %d bytes", maxAnswer)
	}
	return body, errors.WithStack(err)
}

// Lost classifies a call without a usable answer.
func Lost(call store.Call, sent bool, err error) store.Result {
	if sent && call.Kind.IsWrite() {
		return store.Result{Outcome: store.Unknown, Detail: fmt.Sprintf("answer lost: %v", err)}
	}
	return store.Result{Outcome: store.Unavailable, Detail: err.Error()}
}
