// Package client calls the operators' HTTP API of one of several daemons.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/api/commands"
	"sniperail.example/sniperail/internal/api/problem"
	"sniperail.example/sniperail/internal/model"
)

// maxResponseBytes limits the size of a response. The rows of 1,300 targets take about 0.5 MB.
const maxResponseBytes = 16 << 20

// RefusalError is a daemon's refusal of a request.
type RefusalError struct {
	Server string
	problem.Document
}

// Error returns every problem on a line of its own.
func (r *RefusalError) Error() string {
	lines := []string{fmt.Sprintf("%s: %s (executed: %s)", r.Server, r.Reason, r.Executed)}
	for _, p := range r.Problems {
		line := "  " + p.Reason
		if p.Field != "" {
			line = "  " + p.Field + ": " + p.Reason
		}
		lines = append(lines, line)
	}
	if len(r.Problems) == 0 && r.Detail != "" {
		lines = append(lines, "  "+r.Detail)
	}
	return strings.Join(lines, "\n")
}

// UnreachableError means that no server answered.
type UnreachableError struct {
	// Executed is ExecutedUnknown if a command may have reached a server whose response was lost.
	Executed problem.Executed
	Attempts []string
}

// Error lists the error of each attempt.
func (u *UnreachableError) Error() string {
	return fmt.Sprintf("no server answered (executed: %s)\n  %s", u.Executed, strings.Join(u.Attempts, "\n  "))
}

// Client sends requests to one of several servers, which it tries in order.
type Client struct {
	servers  []string
	operator string
	http     *http.Client
}

// New returns a client of servers, each given as HOST:PORT. The timeout applies to one request to one server. The operator's
// name is recorded with each command.
func New(servers []string, operator string, timeout time.Duration) *Client {
	return &Client{servers: servers, operator: operator, http: &http.Client{Timeout: timeout}}
}

// Command submits a command. It tries the next server only if the previous one cannot have executed the command. The error
// is a *RefusalError or an *UnreachableError.
func (c *Client) Command(ctx context.Context, verb string, command any) (model.Outcome, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return model.Outcome{}, errors.Wrap(err, "encode command")
	}
	var outcome model.Outcome
	err = c.tryServers(func(server string) error {
		return c.request(ctx, http.MethodPost, server, "/v1/command/"+verb, body, &outcome)
	}, func(e problem.Executed) bool { return e == problem.NotExecuted })
	return outcome, err
}

// Query decodes a report into out. The error is a *RefusalError or an *UnreachableError.
func (c *Client) Query(ctx context.Context, path string, out any) error {
	return c.tryServers(func(server string) error {
		return c.request(ctx, http.MethodGet, server, "/v1/query/"+path, nil, out)
	}, func(problem.Executed) bool { return true })
}

// QueryWithKey decodes the response to a GET of a path, sent with an API key unless it is empty, into out. The error is a
// *RefusalError or an *UnreachableError; neither contains the key.
func (c *Client) QueryWithKey(ctx context.Context, path, key string, out any) error {
	return c.tryServers(func(server string) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server+path, nil)
		if err != nil {
			return err
		}
		if key != "" {
			request.Header.Set("Authorization", "Token "+key)
		}
		return c.send(request, server, out)
	}, func(problem.Executed) bool { return true })
}

// tryServers sends a request to the servers in order, until one gives a response other than "unavailable" or mayRetry
// reports that no other server may be tried. If all servers were tried without such a response, it returns the last refusal as
// unavailable, or an UnreachableError if there was none.
func (c *Client) tryServers(request func(server string) error, mayRetry func(problem.Executed) bool) error {
	unreachable := &UnreachableError{Executed: problem.NotExecuted}
	var unavailable *RefusalError
	for _, server := range c.servers {
		err := request(server)
		var refusal *RefusalError
		if err == nil {
			return nil
		}
		if errors.As(err, &refusal) {
			if refusal.Status != http.StatusServiceUnavailable || !mayRetry(refusal.Executed) {
				return refusal
			}
			unavailable = refusal
			continue
		}
		unreachable.Attempts = append(unreachable.Attempts, server+": "+err.Error())
		if executed := executedAfterError(err); !mayRetry(executed) {
			unreachable.Executed = executed
			return unreachable
		}
	}
	if unavailable != nil {
		return unavailable
	}
	return unreachable
}

// executedAfterError returns whether a server may have executed a request that failed with err. It has certainly not
// executed the request only if no connection was established.
func executedAfterError(err error) problem.Executed {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return problem.NotExecuted
	}
	return problem.ExecutedUnknown
}

func (c *Client) request(ctx context.Context, method, server, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	if c.operator != "" {
		request.Header.Set(commands.OperatorHeader, c.operator)
	}
	return c.send(request, server, out)
}

func (c *Client) send(request *http.Request, server string, out any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		return json.Unmarshal(content, out)
	}
	refusal := &RefusalError{Server: server}
	if err := json.Unmarshal(content, &refusal.Document); err != nil || refusal.Reason == "" {
		return errors.Errorf("status %d without a problem document", response.StatusCode)
	}
	return refusal
}
