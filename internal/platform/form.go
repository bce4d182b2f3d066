package platform

import (
	"context"
	"net/http"
	"time"

	"sniperail.example/sniperail/internal/store"
)

// Request is an encoded call.
type Request struct {
	Method string
	// Path holds the path and the query.
	Path string
	Body []byte
	// Wait is how long the service may hold the request of a watch before it answers.
	Wait time.Duration
}

// Open sends the request of a watch and returns the response once its header has arrived. The body must be closed.
type Open func(ctx context.Context, r Request) (*http.Response, error)

// Form encodes calls for one kind of key-value service and decodes its answers. It translates only: it keeps no state,
// repeats nothing and decides nothing.
type Form interface {
	// Encode returns the request of a call. An error means that the call cannot be expressed.
	Encode(call store.Call) (Request, error)
	// Decode classifies an answer.
	Decode(call store.Call, status int, body []byte) store.Result
	// Watch delivers the changes of a key after a revision until the watch ends or deliver returns false. The error says
	// why it ended.
	Watch(ctx context.Context, open Open, key string, after int64, deliver func(store.WatchEvent) bool) error
}
