package platform

import (
	"context"
	"net/http"
	"time"

	"sniperail.example/sniperail/internal/store"
)

// Request is the HTTP request of an encoded call.
type Request struct {
	Method string
	// Path includes the query string.
	Path string
	Body []byte
	// Wait is how long the service may hold the request of a watch before it responds.
	Wait time.Duration
}

// Response is the HTTP response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// OpenWatch sends the request of a watch and returns the response when its header has arrived. The caller closes the body.
type OpenWatch func(ctx context.Context, r Request) (*http.Response, error)

// Protocol encodes calls for one kind of key-value service and decodes the responses. It only translates: it keeps no
// state, does not retry and decides nothing.
type Protocol interface {
	// Encode returns the request of a call. An error means that the call cannot be expressed.
	Encode(call store.Call) (Request, error)
	// Decode returns the result of a call from its response.
	Decode(call store.Call, r Response) store.Result
	// Watch delivers the changes of a key after a revision until the watch ends or deliver returns false. The error is
	// the reason for its end.
	Watch(ctx context.Context, open OpenWatch, key string, after int64, deliver func(store.WatchEvent) bool) error
}
