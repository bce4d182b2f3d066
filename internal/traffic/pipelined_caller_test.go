package traffic_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are lost when a caller sends more than a connection runs at a time and queues answers for, and reads none
// of the answers until after their deadline.
func TestCallerThatReadsLateGetsAllAnswers(t *testing.T) {
	is := is.New(t)
	const calls, deadline = 400, 2 * time.Second
	body := strings.Repeat("a", shortLength)
	target := startScriptedTarget(t, func(int, *http.Request) string {
		return "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: " + strconv.Itoa(shortLength) + "\r\n\r\n" + body
	})
	conn := dialPipeline(t, startChain(t, target).address())
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for i := range calls {
			sendCalls(t, conn, pipelinedCall{fmt.Sprint("call-", i), "POST", "/once/x", deadline})
		}
	}()
	time.Sleep(deadline + 1200*time.Millisecond) // longer than any deadline that a request sets on its connection
	answers := receiveAnswers(bufio.NewReader(conn), calls)
	<-sent
	is.Equal(len(answers), calls)
	for i, answer := range answers {
		is.Equal(answer.status, http.StatusOK)
		is.Equal(answer.header.Get("X-Id"), fmt.Sprint("call-", i))
		is.Equal(len(answer.body), shortLength)
	}
}

// Guards against a body that comes late, or an answer to an earlier request meanwhile, costing a request of the connection its answer.
func TestLateBodyCostsNoOtherRequest(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	_, conn := startPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	})
	_, err := io.WriteString(conn, getRequest("/slow")+getRequest("/quick")+"POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab")
	is.NoErr(err)
	close(release)
	r := bufio.NewReader(conn)
	for _, want := range []string{"/slow ", "/quick "} {
		_, body := readResponse(t, r)
		is.Equal(body, want)
	}
	_, err = io.WriteString(conn, "cde"+getRequest("/next"))
	is.NoErr(err)
	for _, want := range []string{"/late abcde", "/next "} {
		_, body := readResponse(t, r)
		is.Equal(body, want)
	}
}

// Guards against an answer that breaks off costing a caller that reads late the end of earlier answers: a connection that is closed while
// requests are left unread is reset, and what it has not delivered is lost.
func TestBrokenAnswerCostsNoEarlierAnswer(t *testing.T) {
	is := is.New(t)
	const earlier, behind, length = 16, 20_000, 1 << 20
	_, conn := startPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(length))
		if r.URL.Path == "/broken" {
			_, _ = w.Write(make([]byte, length/2))
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(make([]byte, length))
	})
	go func() {
		_, _ = io.WriteString(conn, strings.Repeat(getRequest("/"), earlier)+getRequest("/broken")+strings.Repeat(getRequest("/"), behind))
	}()
	r := bufio.NewReader(conn)
	for range earlier {
		time.Sleep(50 * time.Millisecond) // the server is done before the caller has read all answers
		_, body := readResponse(t, r)
		is.Equal(len(body), length)
	}
	is.Equal(len(receiveAnswers(r, 1)), 0)
}
