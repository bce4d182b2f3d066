package traffic_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	// uploadLength is more than the sockets on the way hold, so that an upload is still being written when a target answers early.
	uploadLength = 7 << 20
	// earlyRead is what a target reads of an upload that it answers early.
	earlyRead = 32 << 10
	// unsizedPart is the part of a body without a length that is sent.
	unsizedPart = 20 << 10
)

// unsizedAnswer is the head and a part of the body of a response whose end only the connection shows.
var unsizedAnswer = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nSniperail-Call: SEND\r\n\r\n" + strings.Repeat("a", unsizedPart)

// upload sends a request with a body, by length or in chunks, and returns the status and the body of the response, or an error if the
// response is incomplete.
func (c *chain) upload(ctx context.Context, path string, length int, chunked bool) (int, string, error) {
	body := io.Reader(bytes.NewReader(make([]byte, length)))
	if chunked {
		body = io.MultiReader(body) // hides the length
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, body)
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("X-Id", "req-1")
	r.Header.Set("X-Deadline", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	return response.StatusCode, string(received), err
}

// Guards against a part of a response without a length that reaches the caller as a complete one, because the connection was reset while
// the request was still being written: the failed write took the error from the socket, and the next read saw its orderly end.
func TestResetResponseWithoutLengthIsIncomplete(t *testing.T) {
	const rounds = 10
	for _, atDaemon := range []bool{false, true} {
		for _, bodyRead := range []int64{0, 1, earlyRead} {
			for _, length := range []int{1, 100 << 10, uploadLength} {
				for _, chunked := range []bool{false, true} {
					for _, path := range []string{"/once/x", "/safe/x"} {
						t.Run(fmt.Sprint("daemon=", atDaemon, " read=", bodyRead, " length=", length, " chunked=", chunked, path), func(t *testing.T) {
							for range rounds {
								checkResetIsNoSuccess(t, atDaemon, bodyRead, length, chunked, path)
							}
						})
					}
				}
			}
		}
	}
}

// checkResetIsNoSuccess sends an upload to a target, or the daemon beside it, that answers with a part of a body and resets the connection.
func checkResetIsNoSuccess(t *testing.T, atDaemon bool, bodyRead int64, length int, chunked bool, path string) {
	t.Helper()
	is := is.New(t)
	target := startScriptedTarget(t, func(int, *http.Request) string { return unsizedAnswer })
	target.ending, target.bodyRead = resetConnection, bodyRead
	ch := startChainBehind(t, target, atDaemon)
	status, body, err := ch.upload(t.Context(), path, length, chunked)
	if err == nil {
		is.Equal(status, http.StatusBadGateway)
	}
	is.True(len(body) <= unsizedPart)
}

// startChainBehind starts a chain whose only target, or the daemon beside it, is scripted.
func startChainBehind(t *testing.T, scripted *scriptedTarget, atDaemon bool) *chain {
	t.Helper()
	if atDaemon {
		return startChainWithDaemons(t, []*scriptedTarget{scripted}, nil)
	}
	return startChain(t, scripted)
}

// Guards against a whole response without a length that is refused, because its target ends the connection in order before it has read the
// request.
func TestResponseWithoutLengthThatEndsInOrderIsComplete(t *testing.T) {
	for _, atDaemon := range []bool{false, true} {
		for _, bodyRead := range []int64{0, 1, earlyRead} {
			for _, length := range []int{1, 100 << 10, uploadLength} {
				t.Run(fmt.Sprint("daemon=", atDaemon, " read=", bodyRead, " length=", length), func(t *testing.T) {
					is := is.New(t)
					target := startScriptedTarget(t, func(int, *http.Request) string { return unsizedAnswer })
					target.ending, target.bodyRead = closeSending, bodyRead
					status, body, err := startChainBehind(t, target, atDaemon).upload(t.Context(), "/once/x", length, false)
					is.NoErr(err)
					is.Equal(status, http.StatusOK)
					is.Equal(len(body), unsizedPart)
				})
			}
		}
	}
}
