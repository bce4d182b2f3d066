// Package client calls the operators' HTTP API of any of several daemons.
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

// maxResponseBytes bounds a response. The rows of 1,300 targets need about 0.5 MB.
const maxResponseBytes = 16 << 20

// RefusalError is an answer of a daemon that refuses the request.
type RefusalError struct {
	Server string
	problem.Document
}

// Error renders every problem, one a line.
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

// UnreachableError means that no server gave an answer.
type UnreachableError struct {
	// Executed is unknown if a command reached a server whose answer was lost.
	Executed problem.Executed
	Attempts []string
}

// Error lists what each attempt met.
func (u *UnreachableError) Error() string {
	return fmt.Sprintf("no server answered (executed: %s)\n  %s", u.Executed, strings.Join(u.Attempts, "\n  "))
}

// Client tries servers in order.
type Client struct {
	servers  []string
	operator string
	http     *http.Client
}

// New returns a client of servers, each HOST:PORT. Timeout limits one request to one server. Operator is recorded with
// each command.
func New(servers []string, operator string, timeout time.Duration) *Client {
	return &Client{servers: servers, operator: operator, http: &http.Client{Timeout: timeout}}
}

// Command submits a command. It moves on to the next server only if the one before cannot have executed the command.
// The error is *Refusal or *Unreachable.
func (c *Client) Command(ctx context.Context, verb string, command any) (model.Outcome, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return model.Outcome{}, errors.Wrap(err, "encode command")
	}
	var outcome model.Outcome
	err = c.try(func(server string) error {
		return c.request(ctx, http.MethodPost, server, "/v1/command/"+verb, body, &outcome)
	}, func(e problem.Executed) bool { return e == problem.NotExecuted })
	return outcome, err
}

// Query reads a report into out. The error is *Refusal or *Unreachable.
func (c *Client) Query(ctx context.Context, path string, out any) error {
	return c.try(func(server string) error {
		return c.request(ctx, http.MethodGet, server, "/v1/query/"+path, nil, out)
	}, func(problem.Executed) bool { return true })
}

// try returns the first answer other than "unavailable". If no server answers and one was unavailable, that refusal is
// returned.
func (c *Client) try(request func(server string) error, repeatable func(problem.Executed) bool) error {
	unreachable := &UnreachableError{Executed: problem.NotExecuted}
	var unavailable *RefusalError
	for _, server := range c.servers {
		err := request(server)
		var refusal *RefusalError
		if err == nil {
			return nil
		}
		if errors.As(err, &refusal) {
			if refusal.Status != http.StatusServiceUnavailable || !repeatable(refusal.Executed) {
				return refusal
			}
			unavailable = refusal
			continue
		}
		unreachable.Attempts = append(unreachable.Attempts, server+": "+err.Error())
		if executed := executedAfter(err); !repeatable(executed) {
			unreachable.Executed = executed
			return unreachable
		}
	}
	if unavailable != nil {
		return unavailable
	}
	return unreachable
}

// executedAfter is "no" only if the connection was never made.
func executedAfter(err error) problem.Executed {
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
