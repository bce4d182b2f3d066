package target_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/standin/target"
)

func config() target.Config {
	return target.Config{Name: "t", Version: "v2", Slots: 2, Bad: target.BadNone, BadShare: 1, ColdFactor: 1, AnswerBytes: 256}
}

func get(t *target.Target, path string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	t.ServeHTTP(w, r)
	return w
}

// Guards against responses and counts from which a checker cannot detect a wrong response or count executions.
func TestResponsesIdentifyTheirRequest(t *testing.T) {
	is := is.New(t)
	s := target.New(config())
	for i := range 3 {
		w := get(s, "/a?bytes=1024", "X-Request-Id", fmt.Sprint("r", i), "Idempotency-Key", "k")
		is.Equal(w.Body.Len(), 1024)
		var body struct{ Request, Version string }
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
		is.Equal(body.Request, fmt.Sprint("r", i))
		is.Equal(body.Version, "v2")
	}
	is.True(strings.Contains(get(s, "/standin/counts").Body.String(), `"keys":{"k":3}`))
	is.Equal(s.Counts().Paths["/a"], 3)
	s.Drain()
	is.Equal(get(s, "/a").Code, http.StatusServiceUnavailable)
}

// Guards against a stand-in that executes more calls at the same time than it has slots, or whose faults do not follow the
// flags.
func TestSlotLimitAndFaultsFollowTheFlags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := config()
		c.Latency, c.Queue, c.Bad, c.BadAfter, c.BadRoute = 10*time.Millisecond, 1, target.BadFail, time.Second, "/bad"
		s := target.New(c)
		var wg sync.WaitGroup
		codes := make(chan int, 5)
		start := time.Now()
		for range 5 {
			wg.Go(func() { codes <- get(s, "/bad").Code })
		}
		wg.Wait()
		is.Equal(time.Since(start), 20*time.Millisecond) // two calls in parallel, then the queued one
		counts := s.Counts()
		is.Equal(counts.Executions, 3)
		is.Equal(counts.Shed, 2)
		is.Equal(counts.Peak, 2)
		<-time.After(time.Second) // of the fake clock
		is.Equal(get(s, "/bad/x").Code, http.StatusInternalServerError)
		is.Equal(get(s, "/good").Code, http.StatusOK)
	})
}

// Guards against invalid settings that are detected only after the start.
func TestInvalidSettingsAreReported(t *testing.T) {
	c := config()
	is.New(t).Equal(len(c.Problems()), 0)
	c.Slots, c.Bad, c.BadShare = 0, "odd", 2
	is.New(t).Equal(len(c.Problems()), 3)
}
