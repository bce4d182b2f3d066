package queries_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/api/queries"
	"sniperail.example/sniperail/internal/query/explanation"
)

// Guards against explanations that take a daemon's CPU time without a bound, and against requests that are not understood.
func TestExplanationsAreBounded(t *testing.T) {
	is := is.New(t)
	started, proceed := make(chan struct{}, 10), make(chan struct{})
	h := queries.NewRouteExplainer(func(explanation.Request) explanation.Explanation {
		started <- struct{}{}
		<-proceed
		return explanation.Explanation{}
	})
	ask := func(method, url string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, url, nil))
		return w.Code
	}
	for _, url := range []string{"/explain", "/explain?path=x", "/explain?path=http://h/x", "/explain?path=%2F%zz"} {
		is.Equal(ask("GET", url), http.StatusBadRequest)
	}
	is.Equal(ask("DELETE", "/explain?path=/x"), http.StatusMethodNotAllowed)
	first := make(chan int)
	go func() { first <- ask("GET", "/explain?path=/x") }()
	<-started
	is.Equal(ask("GET", "/explain?path=/x"), http.StatusServiceUnavailable) // one runs
	close(proceed)
	is.Equal(<-first, http.StatusOK)
	codes := map[int]int{}
	for range 50 {
		codes[ask("POST", "/explain?path=/x")]++
		select {
		case <-started:
		default:
		}
	}
	is.True(codes[http.StatusServiceUnavailable] > 0) // too many in a short time
}
