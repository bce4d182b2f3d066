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

// watchBufferSize is the number of events buffered while the receiver is busy. A full buffer stops reading of the stream; it
// does not block the service.
const watchBufferSize = 16

// Watch streams the changes of a key after a revision. The last event has Lost set, unless ctx ended the stream.
func (c *Client) Watch(ctx context.Context, key string, after int64) <-chan store.WatchEvent {
	events := make(chan store.WatchEvent, watchBufferSize)
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
		err := c.protocol.Watch(ctx, c.openWatch, key, after, deliver)
		deliver(store.WatchEvent{Lost: true, Detail: fmt.Sprint(err)})
	}()
	return events
}

// openWatch sends the request of a watch to the endpoint in use. After a failure the next endpoint is the one in use.
func (c *Client) openWatch(ctx context.Context, r Request) (*http.Response, error) {
	index := c.currentEndpoint.Load()
	ctx, cancel := context.WithCancel(ctx)
	// The timer bounds only the time until the response header, which the service may hold back for r.Wait.
	headerTimer := time.AfterFunc(c.timeout+r.Wait, cancel)
	response, _, err := c.send(ctx, c.endpoints[index%uint64(len(c.endpoints))], r)
	if !headerTimer.Stop() && err == nil {
		_ = response.Body.Close()
		err = errors.New("watch: no response in time")
	}
	if err != nil || response.StatusCode >= http.StatusInternalServerError {
		c.currentEndpoint.CompareAndSwap(index, index+1)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &cancelOnCloseBody{response.Body, cancel}
	return response, nil
}

// cancelOnCloseBody is a response body that cancels the context of its request when it is closed.
type cancelOnCloseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *cancelOnCloseBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// Watch opens one stream and delivers its events until it ends.
func (EtcdProtocol) Watch(
	ctx context.Context, open OpenWatch, key string, after int64, deliver func(store.WatchEvent) bool,
) error {
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

// watchStream decodes the messages of a watch response.
type watchStream struct {
	limit   *io.LimitedReader
	decoder *json.Decoder
}

func newWatchStream(r io.Reader) *watchStream {
	limit := &io.LimitedReader{R: r, N: maxResponseBytes}
	return &watchStream{limit: limit, decoder: json.NewDecoder(limit)}
}

// next returns the events of the next message, or an error at the end of the watch. A message has at most maxResponseBytes.
func (s *watchStream) next() ([]store.WatchEvent, error) {
	s.limit.N = maxResponseBytes
	var message wire.WatchMessage
	if err := s.decoder.Decode(&message); err != nil {
		return nil, errors.Wrap(err, "watch stream")
	}
	if message.Error != nil || message.Result == nil || message.Result.Canceled {
		return nil, errors.New("watch ended by the service")
	}
	var events []store.WatchEvent
	for _, event := range message.Result.Events {
		events = append(events, store.WatchEvent{Entry: toEntry(event.KV), Deleted: event.Type == wire.EventDelete})
	}
	return events, nil
}
