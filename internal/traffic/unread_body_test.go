package traffic_test

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/traffic"
)

const embeddedRequestLength = 256

// embeddedRequest returns one of the requests that the content of an upload consists of, embeddedRequestLength bytes long.
func embeddedRequest(method, path string) string {
	start := method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Deadline: 2000\r\nX-Id: embedded\r\nX-Note: "
	return start + strings.Repeat("n", embeddedRequestLength-len(start)-4) + "\r\n\r\n"
}

// upload is a request whose body looks like requests.
type upload struct {
	name, head string
	// content is what the caller sends behind the head, framed as the head says.
	content string
	// awaitsContinue says that the caller sends the content only after "100 Continue".
	awaitsContinue bool
}

// uploads returns uploads of different framing and length to a path. Header holds further header lines.
func uploads(path, header string, embedded string) []upload {
	start := "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + header
	var all []upload
	for _, n := range []int{257, 512, 1023, 1024, 1200} {
		content := strings.Repeat(embedded, n)
		length := fmt.Sprintf("Content-Length: %d\r\n", len(content))
		chunked := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(content)/2, content[:len(content)/2],
			len(content)-len(content)/2, content[len(content)/2:])
		all = append(all,
			upload{fmt.Sprint("length ", len(content)), start + length + "\r\n", content, false},
			upload{fmt.Sprint("chunks ", len(content)), start + "Transfer-Encoding: chunked\r\n\r\n", chunked, false},
			upload{fmt.Sprint("expect ", len(content)), start + "Expect: 100-continue\r\n" + length + "\r\n", content, true},
		)
	}
	return all
}

// sendUpload sends an upload, and then another request if its response keeps the connection open. It returns the status of the
// upload and whether the connection served the other request.
func sendUpload(t *testing.T, address string, u upload, next string) (status int, reused bool) {
	t.Helper()
	conn := dialPipeline(t, address)
	reader := bufio.NewReader(conn)
	sent := make(chan error, 1)
	go func() {
		request := u.head
		if !u.awaitsContinue {
			request += u.content
		}
		_, err := io.WriteString(conn, request)
		sent <- err
	}()
	response, _ := readResponse(t, reader)
	if response.StatusCode == http.StatusContinue {
		t.Fatal("the refused upload was asked for")
	}
	if err := <-sent; response.Close {
		_ = conn.Close()
		return response.StatusCode, false
	} else if err != nil {
		t.Fatal(err)
	}
	if u.awaitsContinue {
		t.Fatal("the connection is kept, although the caller may or may not send the upload")
	}
	if _, err := io.WriteString(conn, next); err != nil {
		t.Fatal(err)
	}
	if response, body := readResponse(t, reader); response.StatusCode != http.StatusOK || !strings.Contains(body, "/next") {
		t.Fatalf("the next request on the connection was answered with %d %q", response.StatusCode, body)
	}
	return response.StatusCode, true
}

// panicDetector fails a test when http.Server reports the panic of a handler.
type panicDetector struct{ t *testing.T }

func (d panicDetector) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "panic serving") {
		d.t.Errorf("a handler panicked: %.200s", p)
	}
	return len(p), nil
}

// serveStandard serves a handler on the server that daemons use between each other, and returns its address. The test fails if the
// handler panics, except with http.ErrAbortHandler.
func serveStandard(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config = traffic.NewServer(handler, traffic.DefaultLimits())
	server.Config.ErrorLog = log.New(panicDetector{t}, "", 0)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against the rest of a long body being taken for requests, when the handler has refused the request without reading the
// body to its end, and against a connection that fails under the next request although the response has kept it open.
func TestRestOfUnreadBodyIsNotServed(t *testing.T) {
	servers := map[string]func(*testing.T, http.Handler) string{
		"pipelined": func(t *testing.T, h http.Handler) string {
			_, address := servePipelined(t, h, func(conn net.Conn) net.Conn { return conn })
			return address
		},
		"standard": serveStandard,
	}
	reads := map[string]int64{"unread": 0, "read in part": 70_000}
	for serverName, serve := range servers {
		for readName, read := range reads {
			for _, u := range uploads("/upload", "", embeddedRequest("GET", "/embedded")) {
				if u.awaitsContinue && read > 0 {
					continue
				}
				t.Run(serverName+"/"+readName+"/"+u.name, func(t *testing.T) {
					is := is.New(t)
					var mu sync.Mutex
					served := map[string]int{}
					address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						mu.Lock()
						served[r.URL.Path]++
						mu.Unlock()
						if r.URL.Path == "/upload" {
							_, _ = io.CopyN(io.Discard, r.Body, read)
							w.WriteHeader(http.StatusNotFound)
							return
						}
						_, _ = io.WriteString(w, r.URL.Path)
					}))
					status, reused := sendUpload(t, address, u, getRequest("/next"))
					is.Equal(status, http.StatusNotFound)
					mu.Lock()
					defer mu.Unlock()
					is.Equal(served["/embedded"], 0)
					is.Equal(served["/upload"], 1)
					is.Equal(served["/next"] == 1, reused)
				})
			}
		}
	}
}

// Guards against a handler that has returned while its request body is still being read, as http.Transport does when a target
// responds early: the response must not wait for the caller, and the bytes of the next request must not be taken for the body.
func TestBodyReaderDoesNotOutliveItsHandler(t *testing.T) {
	is := is.New(t)
	const length, sentFirst = 100_000, 90_000
	read := make(chan int64, 1)
	_, conn := startPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/upload" {
			begun := make(chan struct{})
			go func() {
				n, _ := io.CopyN(io.Discard, r.Body, sentFirst)
				close(begun)
				more, _ := io.Copy(io.Discard, r.Body)
				read <- n + more
			}()
			<-begun
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	_, err := fmt.Fprintf(conn, "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sentFirst))
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	response, body := readResponse(t, reader)
	is.Equal(body, "/upload")
	is.True(!response.Close)
	is.Equal(<-read, int64(sentFirst))
	_, err = io.WriteString(conn, strings.Repeat("x", length-sentFirst)+getRequest("/next"))
	is.NoErr(err)
	_, body = readResponse(t, reader)
	is.Equal(body, "/next")
}

// Guards against a connection that stays open and silent after a long response whose head was written before the handler
// left the body unread.
func TestConnectionClosesAfterLongResponseToUnreadBody(t *testing.T) {
	is := is.New(t)
	const length = 300_000
	_, conn := startPipeline(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = io.WriteString(w, strings.Repeat("r", length))
	})
	go func() {
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
	}()
	reader := bufio.NewReader(conn)
	_, body := readResponse(t, reader)
	is.Equal(len(body), length)
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against a connection without an idle timeout, after the rest of a body has been discarded behind its response.
func TestIdleTimeoutHoldsAfterADiscardedBody(t *testing.T) {
	is := is.New(t)
	const length, read = 100_000, 50_000
	_, address := serveWithIdleTimeout(t, 300*time.Millisecond, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, read)
		_, _ = io.WriteString(w, "x")
	}), func(conn net.Conn) net.Conn { return conn })
	conn := dialPipeline(t, address)
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", read))
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	response, _ := readResponse(t, reader)
	is.True(!response.Close)
	_, err = io.WriteString(conn, strings.Repeat("x", length-read))
	is.NoErr(err)
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against a response that waits for the rest of the request body, because its head has already said that the connection
// closes.
func TestLongClosingResponseDoesNotWaitForTheBody(t *testing.T) {
	is := is.New(t)
	const length, sentFirst = 300_000, 100_000
	server, conn := startPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		begun := make(chan struct{})
		go func() {
			_, _ = io.CopyN(io.Discard, r.Body, sentFirst)
			close(begun)
			_, _ = io.Copy(io.Discard, r.Body)
		}()
		<-begun
		w.Header().Set("Content-Length", strconv.Itoa(length))
		for range 3 { // the last part waits until the head has been written
			_, _ = io.WriteString(w, strings.Repeat("r", length/3))
		}
	})
	server.Drain()
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sentFirst))
	is.NoErr(err)
	response, body := readResponse(t, bufio.NewReader(conn))
	is.True(response.Close)
	is.Equal(len(body), length)
	is.NoErr(server.Wait(t.Context()))
}

// Guards against the rest of a long body being run by a target, for refusals that come before the body is read: at the callers'
// side and beside the target, of both daemons.
func TestRestOfRefusedUploadIsNotExecuted(t *testing.T) {
	var embedded atomic.Int64
	target := startScriptedTarget(t, func(_ int, r *http.Request) string {
		if r.Header.Get("X-Note") != "" {
			embedded.Add(1)
		}
		return okResponse
	})
	sidecar, limited, unready := startChain(t, target), startChain(t, target), startChain(t, target)
	limited.table.View.Configuration.Limits = &model.CallerLimits{BodyBytes: 1000}
	unready.table.View.Ready = false
	starting := startChain(t, target)
	starting.inbounds[0].SetTarget(model.Target{State: model.TargetStarting}, false)
	m := newMesh(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Note") != "" {
			embedded.Add(1)
		}
		okHandler(w, r)
	})
	sniperaild := strings.TrimPrefix(m.url, "http://")
	const proper, deadline = "X-Id: upload\r\nX-Deadline: 9000\r\n", traffic.HeaderDeadline
	cases := []struct {
		name, address, path, header string
		status                      int
	}{
		{"sidecar, no route", sidecar.address(), "/none/x", proper, http.StatusNotFound},
		{"sidecar, bad deadline", sidecar.address(), "/once/x", "X-Id: upload\r\nX-Deadline: -\r\n", http.StatusBadRequest},
		{"sidecar, upgrade", sidecar.address(), "/once/x", proper + "Upgrade: x\r\n", http.StatusNotImplemented},
		{"sidecar, too large", limited.address(), "/once/x", proper, http.StatusRequestEntityTooLarge},
		{"sidecar, not ready", unready.address(), "/once/x", proper, http.StatusServiceUnavailable},
		{"sidecar, refused by the target's daemon", starting.address(), "/once/x", proper, http.StatusServiceUnavailable},
		{"sidecar, beside the target", serveStandard(t, sidecar.inbounds[0]), "/once/x", proper, http.StatusBadRequest},
		{"sniperaild, bad deadline", sniperaild, "/embedded", deadline + ": -\r\n", http.StatusBadRequest},
		{"sniperaild, ambiguous path", sniperaild, "//embedded", "", http.StatusBadRequest},
		{"sniperaild, beside the target", serveStandard(t, m.admissions[0]), "/embedded", "", http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		path := "/once/x"
		if strings.HasPrefix(c.name, "sniperaild") {
			path = "/embedded"
		}
		for _, u := range uploads(c.path, c.header, embeddedRequest("POST", path)) {
			if c.status == http.StatusRequestEntityTooLarge && strings.HasPrefix(u.name, "chunks") {
				continue // its length is not known in advance, so that it is refused only later
			}
			t.Run(c.name+"/"+u.name, func(t *testing.T) {
				is := is.New(t)
				before := embedded.Load()
				conn := dialPipeline(t, c.address)
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					_, _ = io.WriteString(conn, u.head+u.content)
				}()
				reader := bufio.NewReader(conn)
				response, _ := readResponse(t, reader)
				if response.StatusCode == http.StatusContinue {
					response, _ = readResponse(t, reader) // the body was requested for the next daemon, which refused it
				}
				is.Equal(response.StatusCode, c.status)
				<-sent
				_ = conn.CloseWrite()              // fails if the daemon has closed the connection
				_, _ = io.Copy(io.Discard, reader) // until the daemon has answered all that it takes for requests
				is.Equal(embedded.Load(), before)
			})
		}
	}
}
