package traffic_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against chunks in a response to a caller that speaks HTTP/1.0, and against a broken one that looks complete to it: the handler
// breaks off, the caller reads too late, or the server closes its connections.
func TestResponseWithoutLengthToOldCaller(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{})
	server, address := servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_, _ = io.WriteString(w, "first ") // fails only if the caller has disconnected
		_ = control.Flush()
		<-received
		switch r.URL.Path {
		case "/broken":
			panic(http.ErrAbortHandler)
		case "/late":
			_ = control.SetWriteDeadline(time.Unix(1, 0))
		case "/closed":
			<-received
		}
		_, _ = io.WriteString(w, "second")
	}), func(conn net.Conn) net.Conn { return conn })
	for _, path := range []string{"/whole", "/broken", "/late", "/closed"} {
		conn := dialPipeline(t, address)
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.0\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(len(response.TransferEncoding), 0)
		part := make([]byte, len("first "))
		_, err = io.ReadFull(response.Body, part)
		is.NoErr(err)
		received <- struct{}{}
		if path == "/closed" {
			is.NoErr(server.Close())
		}
		rest, err := io.ReadAll(response.Body)
		if path == "/closed" {
			received <- struct{}{}
		}
		if path != "/whole" {
			is.True(err != nil)
			continue
		}
		is.NoErr(err)
		is.Equal(string(part)+string(rest), "first second")
	}
}
