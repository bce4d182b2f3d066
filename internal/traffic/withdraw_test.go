package traffic_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a response that is mixed with another one, because it is withdrawn after a part of it was sent.
func TestBegunResponseCannotBeWithdrawn(t *testing.T) {
	is := is.New(t)
	withdrawn := make(chan bool, 1)
	_, conn := startPipeline(t, func(w http.ResponseWriter, _ *http.Request) {
		part := bytes.Repeat([]byte("a"), longResponse)
		_, _ = w.Write(part) // waits for the writer only if the buffer is full
		_, _ = w.Write(part)
		withdrawn <- w.(interface{ Withdraw() bool }).Withdraw()
	})
	_, err := io.WriteString(conn, getRequest("/"))
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	response, body := readResponse(t, reader)
	is.True(!<-withdrawn)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, strings.Repeat("a", 2*longResponse))
}
