package traffic_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/traffic"
)

// pipelinedCall is a request that is sent on a connection together with others.
type pipelinedCall struct {
	id, method, path string
	deadline         time.Duration
}

func (c pipelinedCall) String() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Deadline: %d\r\nContent-Length: 0\r\n\r\n",
		c.method, c.path, c.id, c.deadline.Milliseconds())
}

// pipelinedAnswer is a complete answer.
type pipelinedAnswer struct {
	status int
	header http.Header
	body   string
}

// sendCalls sends calls in one write.
func sendCalls(t *testing.T, conn net.Conn, calls ...pipelinedCall) {
	t.Helper()
	var all strings.Builder
	for _, c := range calls {
		all.WriteString(c.String())
	}
	if _, err := io.WriteString(conn, all.String()); err != nil {
		t.Fatal(err)
	}
}

// receiveAnswers reads the answers to n calls. It returns fewer if the connection ends or an answer is incomplete.
func receiveAnswers(r *bufio.Reader, n int) []pipelinedAnswer {
	var answers []pipelinedAnswer
	for range n {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			break
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			break
		}
		answers = append(answers, pipelinedAnswer{response.StatusCode, response.Header, string(body)})
	}
	return answers
}

// shortFaults are answers of at most shortLength bytes: whole in each framing, broken off, malformed and repeated.
const shortLength = 30_000

func shortFaults() map[string]string {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nSniperail-Call: SEND\r\n"
	whole := strings.Repeat("a", shortLength)
	half := whole[:shortLength/2]
	length := "Content-Length: " + strconv.Itoa(shortLength) + "\r\n\r\n"
	chunked := "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(shortLength, 16) + "\r\n"
	return map[string]string{
		"length":               ok + length + whole,
		"length, broken off":   ok + length + half,
		"chunks":               ok + chunked + whole + "\r\n0\r\n\r\n",
		"chunks, broken off":   ok + chunked + half,
		"chunks, malformed":    ok + chunked + whole + "zz\r\n",
		"no length":            ok + "Connection: close\r\n\r\n" + whole,
		"server error":         strings.Replace(ok, "200 OK", "500 No", 1) + length + whole,
		"twice":                ok + length + whole + ok + length + whole,
		"encoded":              ok + "Content-Encoding: gzip\r\n" + length + whole,
		"of another request":   strings.Replace(ok, "ID", "other", 1) + length + whole,
		"no answer":            "",
		"no HTTP":              half,
		"status 000":           strings.Replace(ok, "200", "000", 1) + length + whole,
		"switching protocols":  "HTTP/1.1 101 Switch\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + half,
		"informational, ended": "HTTP/1.1 103 Early\r\n\r\n",
		"not modified":         strings.Replace(ok, "200 OK", "304 No", 1) + length + whole,
	}
}

// Guards against a faulty answer of a length that is buffered whole costing the other requests of the connection their answers. The
// fault is that of a target or of the daemon beside it; the connection is then closed, reset or kept.
func TestFaultyShortAnswerCostsNoOtherRequest(t *testing.T) {
	for name, fault := range shortFaults() {
		for _, ending := range []connectionEnding{keepConnection, closeConnection, resetConnection} {
			for _, atDaemon := range []bool{false, true} {
				for _, method := range []string{"GET", "POST", "HEAD"} {
					t.Run(fmt.Sprint(name, " ", ending, " daemon=", atDaemon, " ", method), func(t *testing.T) {
						t.Parallel()
						checkOthersAnswered(t, fault, ending, atDaemon, method)
					})
				}
			}
		}
	}
}

// checkOthersAnswered pipelines faulty calls between calls to a sound target, and checks that all are answered on one connection.
func checkOthersAnswered(t *testing.T, fault string, ending connectionEnding, atDaemon bool, method string) {
	t.Helper()
	is := is.New(t)
	faulty := startScriptedTarget(t, func(int, *http.Request) string { return fault })
	faulty.ending = ending
	sound := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
	var ch *chain
	if atDaemon {
		ch = startChainWithDaemons(t, []*scriptedTarget{faulty}, []*scriptedTarget{sound})
	} else {
		ch = startChain(t, faulty, sound)
	}
	ch.separateServices()
	conn := dialPipeline(t, ch.address())
	reader := bufio.NewReader(conn)
	const faultDeadline = 300 * time.Millisecond
	for round := range 2 {
		var calls []pipelinedCall
		for i := range 6 {
			call := pipelinedCall{fmt.Sprint("call-", round, "-", i), "POST", "/once/sound", 10 * time.Second}
			if i%2 == 0 {
				call.method, call.path, call.deadline = method, "/safe/faulty", faultDeadline
			}
			calls = append(calls, call)
		}
		sendCalls(t, conn, calls...)
		for i, call := range calls {
			response, err := http.ReadResponse(reader, &http.Request{Method: call.method})
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			if i%2 == 1 {
				is.Equal(response.StatusCode, http.StatusOK)
				is.Equal(string(body), "whole")
			}
		}
	}
	is.Equal(sound.received.Load(), int64(6))
}

const (
	// withheldLength is the length of an answer that is forwarded while it is received, and of which nothing is sent before it is
	// complete. begunLength is that of an answer that is begun before.
	withheldLength = 100 << 10
	begunLength    = 400 << 10
)

// longAnswer is the head of an answer of a target with a length, and as many bytes of its body as are sent.
func longAnswer(length, sent int) string {
	return "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n" + strings.Repeat("a", sent)
}

// Guards against a long answer that breaks off before the caller has received a byte of it closing the connection, and with it the
// requests that sound targets have run.
func TestBrokenLongAnswerCostsNoOtherRequest(t *testing.T) {
	for _, ending := range []connectionEnding{keepConnection, closeConnection, resetConnection} {
		for _, sent := range []int{0, 1, withheldLength / 2, withheldLength - 1} {
			t.Run(fmt.Sprint(ending, " ", sent), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				faulty := startScriptedTarget(t, func(int, *http.Request) string { return longAnswer(withheldLength, sent) })
				faulty.ending = ending
				sound := startScriptedTarget(t, func(int, *http.Request) string { return okResponse })
				ch := startChain(t, faulty, sound)
				ch.separateServices()
				conn := dialPipeline(t, ch.address())
				sendCalls(t, conn, pipelinedCall{"before", "GET", "/once/x", time.Minute},
					pipelinedCall{"broken", "GET", "/safe/x", 300 * time.Millisecond},
					pipelinedCall{"behind", "POST", "/once/x", time.Minute}, pipelinedCall{"last", "GET", "/once/x", time.Minute})
				answers := receiveAnswers(bufio.NewReader(conn), 4)
				is.Equal(len(answers), 4)
				for _, i := range []int{0, 2, 3} {
					is.Equal(answers[i].status, http.StatusOK)
					is.Equal(answers[i].body, "whole")
				}
				// The daemon beside the target may give up a moment before the deadline that the caller's daemon counts.
				reasons := map[int]string{http.StatusBadGateway: "connection-lost"}
				if ending == keepConnection {
					reasons[http.StatusGatewayTimeout] = "deadline-exceeded"
				}
				checkIncompleteRefusal(t, answers[1], reasons)
				is.Equal(sound.received.Load(), int64(3))
			})
		}
	}
}

// checkIncompleteRefusal checks the refusal that takes the place of an incomplete answer: it has one of some statuses and the reason of
// that, and nothing of the answer is left in it.
func checkIncompleteRefusal(t *testing.T, got pipelinedAnswer, reasons map[int]string) {
	t.Helper()
	is := is.New(t)
	reason := reasons[got.status]
	is.True(reason != "")
	is.Equal(got.header.Get("Content-Type"), "application/problem+json")
	is.Equal(got.header.Get("X-Stamp"), "")
	is.Equal(got.header.Get(traffic.HeaderExecuted), "unknown")
	is.True(strings.Contains(got.body, reason))
}

// Guards against a refusal in the middle of an answer of which the caller has received a part, and against an answer that looks
// complete.
func TestBegunAnswerIsNotReplaced(t *testing.T) {
	is := is.New(t)
	faulty := startScriptedTarget(t, func(int, *http.Request) string { return longAnswer(begunLength, begunLength/2) })
	faulty.ending = closeConnection
	conn := dialPipeline(t, startChain(t, faulty).address())
	sendCalls(t, conn, pipelinedCall{"broken", "GET", "/safe/x", time.Minute})
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	body, err := io.ReadAll(response.Body)
	is.Equal(err, io.ErrUnexpectedEOF)
	is.True(!strings.Contains(string(body), "{"))
}

// Guards against the time in which a long answer waits for earlier ones using up its write deadline, which then ends the connection, and
// against a long answer that is begun when its deadline has passed and breaks off. Requests before and behind it are answered.
func TestLongAnswerThatWaitsCostsNoOtherRequest(t *testing.T) {
	for _, length := range []int{withheldLength, begunLength} {
		t.Run(strconv.Itoa(length), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			release := make(chan struct{})
			long := startScriptedTarget(t, func(int, *http.Request) string { return longAnswer(length, length) })
			others := startScriptedTarget(t, func(_ int, r *http.Request) string {
				if r.Header.Get("X-Id") == "slow" {
					<-release
				}
				return okResponse
			})
			ch := startChain(t, long, others)
			ch.separateServices()
			conn := dialPipeline(t, ch.address())
			const deadline = 200 * time.Millisecond
			sendCalls(t, conn, pipelinedCall{"slow", "GET", "/once/x", time.Minute}, pipelinedCall{"long", "GET", "/safe/x", deadline},
				pipelinedCall{"behind", "POST", "/once/x", time.Minute})
			// Nothing tells from outside that the deadline for writing the long answer has passed, a second after that of its request.
			time.Sleep(deadline + 1200*time.Millisecond)
			close(release)
			answers := receiveAnswers(bufio.NewReader(conn), 3)
			is.Equal(len(answers), 3)
			is.Equal(answers[0].body, "whole")
			is.Equal(answers[2].body, "whole")
			if length < begunLength { // it was received whole before its deadline
				is.Equal(answers[1].status, http.StatusOK)
				is.Equal(len(answers[1].body), length)
				return
			}
			checkIncompleteRefusal(t, answers[1], map[int]string{http.StatusGatewayTimeout: "deadline-exceeded"})
		})
	}
}

// Guards against a caller that does not read a long answer occupying a slot of a target and the connection for good.
func TestCallerThatReadsNothingIsCutOff(t *testing.T) {
	is := is.New(t)
	const endless = 1 << 30
	ended := make(chan error, 1)
	_, conn := startPipeline(t, func(w http.ResponseWriter, _ *http.Request) {
		is.NoErr(http.NewResponseController(w).SetWriteDeadline(time.Now().Add(100 * time.Millisecond)))
		w.Header().Set("Content-Length", strconv.Itoa(endless))
		part := make([]byte, 1<<20)
		for range endless / len(part) {
			if _, err := w.Write(part); err != nil {
				ended <- err
				panic(http.ErrAbortHandler)
			}
		}
	})
	sendCalls(t, conn, pipelinedCall{"x", "GET", "/", time.Minute})
	is.Equal(<-ended, http.ErrAbortHandler)
}
