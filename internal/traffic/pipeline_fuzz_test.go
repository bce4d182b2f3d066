package traffic_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"sniperail.example/sniperail/internal/traffic"
)

// partReader is the header with which a fuzzed request asks the handler to read only a part of its body, or nothing.
const partReader = "X-Read"

// requestSummary is what tells one request on a connection from another.
type requestSummary struct {
	method, target, body string
	wholeBody            bool
}

// serialRequests returns the requests that a serial server finds in the bytes of a connection, with the bodies that are complete.
func serialRequests(data []byte) []requestSummary {
	var all []requestSummary
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return all
		}
		body, err := io.ReadAll(r.Body)
		all = append(all, requestSummary{r.Method, r.RequestURI, string(body), err == nil})
		if err != nil || r.Close {
			return all
		}
	}
}

// recordingHandler records the requests that it is given.
type recordingHandler struct {
	mu  sync.Mutex
	got []requestSummary
}

func (h *recordingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	summary := requestSummary{method: r.Method, target: r.RequestURI}
	switch r.Header.Get(partReader) {
	case "none":
	case "part":
		start := make([]byte, 3)
		n, _ := io.ReadFull(r.Body, start)
		summary.body = string(start[:n])
	default:
		body, err := io.ReadAll(r.Body)
		summary.body, summary.wholeBody = string(body), err == nil
	}
	h.mu.Lock()
	h.got = append(h.got, summary)
	h.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%s %s", r.Method, r.RequestURI)
}

// isFoundIn reports whether a handled request is among those of the serial server, with the part of the body that was read.
func (s requestSummary) isFoundIn(all []requestSummary) bool {
	for _, other := range all {
		sameBody := len(s.body) <= len(other.body) && other.body[:len(s.body)] == s.body
		if s.wholeBody {
			sameBody = other.wholeBody && s.body == other.body
		}
		if s.method == other.method && s.target == other.target && sameBody {
			return true
		}
	}
	return false
}

// Guards against bytes of a caller that crash the daemon, or of which a part of a body or of a head is taken for a request.
func FuzzPipelinedConnection(f *testing.F) {
	embedded := embeddedRequest("GET", "/embedded")
	for _, u := range uploads("/upload", partReader+": none\r\n", embedded)[:3] {
		f.Add([]byte(u.head + u.content[:2*embeddedRequestLength]))
	}
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhelloGET /c HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /b HTTP/1.1\r\nHost: h\r\nX-Read: part\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\nGET /c HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"))
	f.Add([]byte("POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 27\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("GET /a HTTP/1.0\r\n\r\nGET /b HTTP/1.1\r\nHost:\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		handler := &recordingHandler{}
		exchange(t, handler, data)
		expected := serialRequests(data)
		handler.mu.Lock()
		defer handler.mu.Unlock()
		for _, got := range handler.got {
			if !got.isFoundIn(expected) {
				t.Fatalf("the handler got %+v, which is not among %+v", got, expected)
			}
		}
	})
}

// exchange sends bytes to a server of its own and reads until the server closes the connection. The closed sending side makes the server
// end the connection once it has read all.
func exchange(t *testing.T, handler http.Handler, data []byte) {
	t.Helper()
	_, conn := serveOnFile(t, t.TempDir(), handler)
	go func() {
		_, _ = conn.Write(data) // fails if the server has closed the connection
		_ = conn.CloseWrite()
	}()
	if _, err := io.Copy(io.Discard, conn); isDeadline(err) {
		t.Fatal("the server does not end the connection")
	}
}

// fileTest is a test that needs a server for its own time.
type fileTest interface {
	Helper()
	Fatal(args ...any)
	Cleanup(func())
}

// connectionTimeout ends a test whose server neither answers nor closes the connection.
const connectionTimeout = 20 * time.Second

// serveOnFile starts a server and returns a connection to it. A socket in the file system needs no port, of which there are too few for
// a fuzz test.
func serveOnFile(t fileTest, dir string, handler http.Handler) (*traffic.PipelineServer, *net.UnixConn) {
	t.Helper()
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, "s"), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	minute := func() time.Duration { return time.Minute }
	server := traffic.NewPipelineServer(traffic.PipelineOptions{
		Handler: handler, HeaderBytes: 2 << 10, Logger: zap.NewNop(), HeaderTimeout: minute, IdleTimeout: minute,
		WriteTimeout: traffic.ResponseWriteTimeout,
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener) // ends with the listener
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-served
		_ = server.Close()
	})
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: listener.Addr().String(), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(connectionTimeout))
	return server, conn
}

func isDeadline(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
