package traffic_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against chunks in a response to a caller that speaks HTTP/1.0, and against a broken one that looks complete to it.
func TestResponseWithoutLengthToOldCaller(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{})
	_, address := servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "first ") // fails only if the caller has disconnected
		_ = http.NewResponseController(w).Flush()
		<-received
		if r.URL.Path == "/broken" {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "second")
	}), func(conn net.Conn) net.Conn { return conn })
	for _, path := range []string{"/whole", "/broken"} {
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
		rest, err := io.ReadAll(response.Body)
		if path == "/broken" {
			is.True(err != nil)
			continue
		}
		is.NoErr(err)
		is.Equal(string(part)+string(rest), "first second")
	}
}
