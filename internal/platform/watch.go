package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/platform/wire"
	"sniperail.example/sniperail/internal/store"
)

// watchBuffer lets a batch of changes pass while the receiver is busy; a full buffer blocks the stream, not the
// service.
const watchBuffer = 16

// Watch streams the changes of a key after a revision. The stream ends with an event that has Lost set, unless ctx
// ended it.
func (c *Client) Watch(ctx context.Context, key string, after int64) <-chan store.WatchEvent {
	events := make(chan store.WatchEvent, watchBuffer)
	go func() {
		defer close(events)
		c.watch(ctx, key, after, events)
		select {
		case events <- store.WatchEvent{Lost: true}:
		case <-ctx.Done():
		}
	}()
	return events
}

// watch delivers events until the stream ends.
func (c *Client) watch(ctx context.Context, key string, after int64, events chan<- store.WatchEvent) {
	body, err := json.Marshal(wire.WatchRequest{Create: &wire.WatchCreate{
		Key: []byte(key), StartRevision: wire.Int64(after + 1),
	}})
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Only the start is bounded: an open watch may wait for hours.
	starting := time.AfterFunc(c.timeout, cancel)
	defer starting.Stop()
	at := c.current.Load()
	response, _, err := c.post(ctx, c.endpoints[at%uint64(len(c.endpoints))]+wire.PathWatch, body)
	if err != nil {
		c.current.CompareAndSwap(at, at+1)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.current.CompareAndSwap(at, at+1)
		return
	}
	stream := newWatchStream(response.Body)
	for {
		batch, err := stream.next()
		if err != nil {
			return
		}
		if batch.created {
			starting.Stop()
		}
		for _, event := range batch.events {
			select {
			case events <- event:
			case <-ctx.Done():
				return
			}
		}
	}
}

// watchStream decodes the messages of a watch.
type watchStream struct {
	limit   *io.LimitedReader
	decoder *json.Decoder
}

type watchBatch struct {
	created bool
	events  []store.WatchEvent
}

func newWatchStream(r io.Reader) *watchStream {
	limit := &io.LimitedReader{R: r, N: maxAnswer}
	return &watchStream{limit: limit, decoder: json.NewDecoder(limit)}
}

// next returns the next message, or an error at the end of the watch. One message is at most maxAnswer bytes.
func (s *watchStream) next() (watchBatch, error) {
	s.limit.N = maxAnswer
	var message wire.WatchMessage
	if err := s.decoder.Decode(&message); err != nil {
		return watchBatch{}, errors.Wrap(err, "watch stream")
	}
	if message.Error != nil || message.Result == nil || message.Result.Canceled {
		return watchBatch{}, errors.New("watch ended by the service")
	}
	batch := watchBatch{created: message.Result.Created}
	for _, event := range message.Result.Events {
		batch.events = append(batch.events, store.WatchEvent{Entry: entry(event.KV), Deleted: event.Type == wire.EventDelete})
	}
	return batch, nil
}
