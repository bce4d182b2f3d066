package platform

import (
	"context"
	"encoding/json"
	"fmt"
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
		deliver := func(event store.WatchEvent) bool {
			select {
			case events <- event:
				return true
			case <-ctx.Done():
				return false
			}
		}
		err := c.form.Watch(ctx, c.open, key, after, deliver)
		deliver(store.WatchEvent{Lost: true, Detail: fmt.Sprint(err)})
	}()
	return events
}

// open sends the request of a watch to the endpoint in use. A failure moves on to the next endpoint.
func (c *Client) open(ctx context.Context, r Request) (*http.Response, error) {
	at := c.current.Load()
	ctx, cancel := context.WithCancel(ctx)
	// Only the time to the response's header is bounded, beyond the time that the service may wait before it answers.
	starting := time.AfterFunc(c.timeout+r.Wait, cancel)
	response, _, err := c.send(ctx, c.endpoints[at%uint64(len(c.endpoints))], r)
	if !starting.Stop() && err == nil {
		_ = response.Body.Close()
		err = errors.New("watch: no answer in time")
	}
	if err != nil || response.StatusCode >= http.StatusInternalServerError {
		c.current.CompareAndSwap(at, at+1)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &cancelledBody{response.Body, cancel}
	return response, nil
}

// cancelledBody releases the context of its request when it is closed.
type cancelledBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *cancelledBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// Watch follows one stream until it ends.
func (EtcdForm) Watch(ctx context.Context, open Open, key string, after int64, deliver func(store.WatchEvent) bool) error {
	create := wire.WatchCreate{Key: []byte(key), StartRevision: wire.Int64(after + 1)}
	if store.IsPrefix(key) {
		create.RangeEnd = wire.PrefixEnd(key)
	}
	body, err := json.Marshal(wire.WatchRequest{Create: &create})
	if err != nil {
		return errors.Wrap(err, "encode watch")
	}
	response, err := open(ctx, Request{Method: http.MethodPost, Path: wire.PathWatch, Body: body})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("watch: status %d", response.StatusCode)
	}
	stream := newWatchStream(response.Body)
	for {
		events, err := stream.next()
		if err != nil {
			return err
		}
		for _, event := range events {
			if !deliver(event) {
				return ctx.Err()
			}
		}
	}
}

// watchStream decodes the messages of a watch.
type watchStream struct {
	limit   *io.LimitedReader
	decoder *json.Decoder
}

func newWatchStream(r io.Reader) *watchStream {
	limit := &io.LimitedReader{R: r, N: maxAnswer}
	return &watchStream{limit: limit, decoder: json.NewDecoder(limit)}
}

// next returns the next message, or an error at the end of the watch. One message is at most maxAnswer bytes.
func (s *watchStream) next() ([]store.WatchEvent, error) {
	s.limit.N = maxAnswer
	var message wire.WatchMessage
	if err := s.decoder.Decode(&message); err != nil {
		return nil, errors.Wrap(err, "watch stream")
	}
	if message.Error != nil || message.Result == nil || message.Result.Canceled {
		return nil, errors.New("watch ended by the service")
	}
	var events []store.WatchEvent
	for _, event := range message.Result.Events {
		events = append(events, store.WatchEvent{Entry: entry(event.KV), Deleted: event.Type == wire.EventDelete})
	}
	return events, nil
}
