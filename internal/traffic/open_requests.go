package traffic

import (
	"net/http"
	"sync"
	"time"
)

// openRequests holds the requests of a handler that have begun and not ended.
type openRequests struct {
	mu      sync.Mutex
	started map[*http.Request]time.Time
}

func (o *openRequests) begin(r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.started == nil {
		o.started = map[*http.Request]time.Time{}
	}
	o.started[r] = time.Now()
}

func (o *openRequests) end(r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.started, r)
}

// log writes a line for each open request, of which there are at most some hundred, before the end of the process cuts them.
func (o *openRequests) log(l RequestLog, hop string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for r, started := range o.started {
		l.Cut(r, hop, time.Since(started))
	}
}
