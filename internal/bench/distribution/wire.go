package distribution

import (
	"bytes"
	"reflect"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sniperail.example/sniperail/internal/bench/fleet"
	"sniperail.example/sniperail/internal/peer"
)

// wire encodes messages as the connections of package peer do: one stream per direction, with a header before each body.
// The bytes that it counts exclude TCP and IP headers.
type wire struct {
	links map[link]*stream
	usage map[*fleet.Node]*usage
}

// link identifies one direction of the connection from client to server.
type link struct {
	client, server *fleet.Node
	request        bool
}

// stream is the encoder and decoder state of one link. It is valid for the present processes at both ends.
type stream struct {
	generations [2]int
	buffer      bytes.Buffer
	encoder     *msgpack.Encoder
	decoder     *msgpack.Decoder
	seq         uint64
}

// usage sums up what one daemon used.
type usage struct {
	sent, received int
	messages       int
	cpu            time.Duration
	// kinds are the bytes sent and received, by message method.
	kinds map[string]int
}

func newWire() *wire {
	return &wire{links: map[link]*stream{}, usage: map[*fleet.Node]*usage{}}
}

func (w *wire) usageOf(n *fleet.Node) *usage {
	u := w.usage[n]
	if u == nil {
		u = &usage{kinds: map[string]int{}}
		w.usage[n] = u
	}
	return u
}

func (w *wire) stream(l link) *stream {
	generations := [2]int{l.client.Generation(), l.server.Generation()}
	s := w.links[l]
	if s == nil || s.generations != generations {
		s = &stream{generations: generations}
		s.encoder, s.decoder = peer.NewEncoder(&s.buffer), msgpack.NewDecoder(&s.buffer)
		w.links[l] = s
	}
	return s
}

// transcode encodes a header and a body, counts their bytes and returns the body that the receiver decodes.
func (w *wire) transcode(from, to *fleet.Node, request bool, body any) any {
	l := link{client: from, server: to, request: true}
	if !request {
		l = link{client: to, server: from}
	}
	s := w.stream(l)
	s.seq++
	name := "Command." + reflect.TypeOf(body).Elem().Name()
	begin := time.Now()
	must(s.encoder.Encode(&peer.Header{Method: name, Seq: s.seq}))
	must(s.encoder.Encode(body))
	size := s.buffer.Len()
	middle := time.Now()
	must(s.decoder.Decode(&peer.Header{}))
	got := reflect.New(reflect.TypeOf(body).Elem())
	must(s.decoder.DecodeValue(got.Elem()))
	end := time.Now()
	sender, receiver := w.usageOf(from), w.usageOf(to)
	sender.sent, sender.messages, sender.cpu = sender.sent+size, sender.messages+1, sender.cpu+middle.Sub(begin)
	receiver.received, receiver.cpu = receiver.received+size, receiver.cpu+end.Sub(middle)
	sender.kinds[name] += size
	receiver.kinds[name] += size
	return got.Interface()
}

// must panics on an encoding error, since every message must be encodable.
func must(err error) {
	if err != nil {
		panic(errors.Wrap(err, "message"))
	}
}

// measureHandler adds the time that a daemon's agent takes to handle an event to its processor time.
func (w *wire) measureHandler(n *fleet.Node, run func()) {
	begin := time.Now()
	run()
	w.usageOf(n).cpu += time.Since(begin)
}
