package traffic_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	_ "sniperail.example/sniperail/internal/testseed"
	"sniperail.example/sniperail/internal/traffic"
)

// modelRequest is a request of a model's caller, and what its handler does.
type modelRequest struct {
	method string
	body   string
	// chunked and expects say how the body is framed; asksClose that the caller asks for the end of the connection.
	chunked, expects, asksClose bool
	// reads is the number of bytes of the body that the handler reads, -1 for all.
	reads int
	// answer is the length of the response; breaksAt is the number of bytes after which the handler breaks off, -1 for never.
	answer, breaksAt int
}

func drawRequest(t *rapid.T) *modelRequest {
	r := &modelRequest{method: rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"), reads: -1, breaksAt: -1}
	if r.method == "POST" {
		size := rapid.SampledFrom([]int{0, 1, 300, 5_000, 70_000, 300_000}).Draw(t, "size")
		embedded := embeddedRequest("GET", "/embedded")
		r.body = strings.Repeat(embedded, size/len(embedded)+1)[:size]
		r.chunked, r.expects = rapid.Bool().Draw(t, "chunked"), rapid.IntRange(0, 5).Draw(t, "expects") == 0
		r.reads = rapid.SampledFrom([]int{-1, -1, -1, 0, 100, 80_000}).Draw(t, "reads")
	}
	r.asksClose = rapid.IntRange(0, 9).Draw(t, "close") == 0
	r.answer = rapid.SampledFrom([]int{10, 10, 2_000, 200_000}).Draw(t, "answer")
	if rapid.IntRange(0, 7).Draw(t, "breaks") == 0 {
		r.breaksAt = rapid.IntRange(0, r.answer).Draw(t, "at")
	}
	return r
}

// text returns the request as it is sent, under a number.
func (r *modelRequest) text(number int) string {
	head := fmt.Sprintf("%s /%d HTTP/1.1\r\nHost: h\r\n", r.method, number)
	if r.asksClose {
		head += "Connection: close\r\n"
	}
	if r.expects {
		head += "Expect: 100-continue\r\n"
	}
	switch {
	case r.method == "GET":
		return head + "\r\n"
	case r.chunked && r.body != "":
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(r.body), r.body)
	default:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	}
}

// content returns the body of the response to a request.
func (r *modelRequest) content(number int) string {
	return strings.Repeat(fmt.Sprint(number, "."), r.answer)[:r.answer]
}

// leavesBody reports whether the handler leaves a part of the body, or the caller may have left it out.
func (r *modelRequest) leavesBody() bool {
	return r.reads >= 0 && r.reads <= len(r.body) && r.body != ""
}

// endsUnannounced reports whether the connection may end after the response although its head does not say so: it was sent before it
// was known that the handler leaves a long rest of the body.
func (r *modelRequest) endsUnannounced() bool {
	return r.answer > 100_000 && r.leavesBody() && (r.expects || len(r.body)-r.reads > 60_000)
}

// modelHandler serves the requests of a model and records what it got.
type modelHandler struct {
	requests []*modelRequest
	mu       sync.Mutex
	handled  map[int]bool
	wrong    string
}

func (h *modelHandler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	number, err := strconv.Atoi(strings.TrimPrefix(request.URL.Path, "/"))
	if err != nil || number >= len(h.requests) || request.Method != h.requests[number].method {
		h.record(0, fmt.Sprintf("%s %s was never sent", request.Method, request.URL.Path))
		return
	}
	r := h.requests[number]
	body := io.Reader(request.Body)
	if r.reads >= 0 {
		body = io.LimitReader(body, int64(r.reads))
	}
	read, err := io.ReadAll(body)
	problem := ""
	if want := r.body[:len(read)]; err != nil || string(read) != want || r.reads < 0 && len(read) < len(r.body) {
		problem = fmt.Sprintf("request %d: read %d of %d bytes, %v", number, len(read), len(r.body), err)
	}
	h.record(number, problem)
	content := r.content(number)
	if r.breaksAt < 0 {
		_, _ = io.WriteString(w, content)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = io.WriteString(w, content[:r.breaksAt])
	panic(http.ErrAbortHandler)
}

func (h *modelHandler) record(number int, problem string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.handled[number] {
		problem = fmt.Sprintf("request %d is handled twice", number)
	}
	h.handled[number] = true
	if problem != "" && h.wrong == "" {
		h.wrong = problem
	}
}

// Guards against a connection that hands bodies to handlers as requests, mixes responses up, loses one behind another, is closed
// although its last response kept it open, or is left open and silent.
func TestPipelinedConnectionByModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &modelHandler{handled: map[int]bool{}}
		for range rapid.IntRange(1, 8).Draw(t, "requests") {
			h.requests = append(h.requests, drawRequest(t))
		}
		drainAt := rapid.IntRange(0, 3*len(h.requests)).Draw(t, "drain at")
		dir, err := os.MkdirTemp("", "model")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		server, conn := serveOnFile(t, dir, h)
		piece := rapid.SampledFrom([]int{1 << 20, 4_096, 700}).Draw(t, "piece")
		go func() {
			for number, r := range h.requests {
				for text := r.text(number); text != ""; text = text[min(piece, len(text)):] {
					_, _ = io.WriteString(conn, text[:min(piece, len(text))]) // fails once the server has closed the connection
				}
			}
		}()
		h.readAnswers(t, server, bufio.NewReader(conn), drainAt)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.wrong != "" {
			t.Fatal(h.wrong)
		}
	})
}

// readAnswers reads the responses and checks them. It drains the server when it has read drainAt of them.
func (h *modelHandler) readAnswers(t *rapid.T, server *traffic.PipelineServer, reader *bufio.Reader, drainAt int) {
	drained := false
	for number, r := range h.requests {
		if number == drainAt {
			server.Drain()
			drained = true
		}
		response, err := readFinalResponse(reader)
		if err != nil && r.breaksAt < 0 && number > 0 && h.requests[number-1].endsUnannounced() {
			h.checkUnread(t, number-1)
			return
		}
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
		}
		if r.breaksAt >= 0 {
			if err == nil && string(body) == r.content(number) && response.StatusCode == http.StatusOK && r.breaksAt < r.answer {
				t.Fatalf("response %d broke off after %d bytes and looks whole", number, r.breaksAt)
			}
			return // the connection ends with it
		}
		if err != nil || response.StatusCode != http.StatusOK || string(body) != r.content(number) {
			t.Fatalf("response %d: %v, %d bytes: %v", number, response, len(body), err)
		}
		if !response.Close {
			continue
		}
		if !drained && !r.asksClose && !r.leavesBody() && !r.expects {
			t.Fatalf("response %d closes the connection without a reason", number)
		}
		h.checkUnread(t, number)
		return
	}
}

// readFinalResponse reads a response after those that only say that the caller may go on.
func readFinalResponse(reader *bufio.Reader) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusContinue {
			return response, err
		}
	}
}

// checkUnread checks that no request behind the response that closes the connection was handled.
func (h *modelHandler) checkUnread(t *rapid.T, last int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for number := range h.handled {
		if number > last {
			t.Fatalf("request %d is handled behind response %d, which closes the connection", number, last)
		}
	}
}
