package traffic_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against "100 Continue" in the middle of a response: its caller has sent the body without waiting for it, and the response has
// begun before its turn came to be sent.
func TestContinueIsNotSentWithinAResponse(t *testing.T) {
	is := is.New(t)
	const part = 300_000
	first, last := make(chan struct{}), make(chan struct{})
	_, conn := startPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			<-first
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("a", part))
		close(first)
		_, _ = io.WriteString(w, "b") // once the first part is being written
		<-last
	})
	_, err := io.WriteString(conn, getRequest("/slow")+
		"POST /upload HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody")
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	_, _ = readResponse(t, reader)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	read := make([]byte, part+1)
	_, err = io.ReadFull(response.Body, read)
	is.NoErr(err)
	close(last)
	rest, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(read)+string(rest), strings.Repeat("a", part)+"b")
}
