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

// wire encodes messages as the connections of package peer do: one stream per direction, a header before each body. It
// counts bytes without those of TCP and IP.
type wire struct {
	links map[link]*stream
	usage map[*fleet.Node]*usage
}

// link is one direction of the connection from client to server.
type link struct {
	client, server *fleet.Node
	request        bool
}

type stream struct {
	lives   [2]int
	buffer  bytes.Buffer
	encoder *msgpack.Encoder
	decoder *msgpack.Decoder
	seq     uint64
}

// usage sums what one daemon used.
type usage struct {
	sent, received int
	messages       int
	cpu            time.Duration
	// kinds are the bytes sent and received by kind of message.
	kinds map[string]int
}

func newWire() *wire {
	return &wire{links: map[link]*stream{}, usage: map[*fleet.Node]*usage{}}
}

func (w *wire) of(n *fleet.Node) *usage {
	u := w.usage[n]
	if u == nil {
		u = &usage{kinds: map[string]int{}}
		w.usage[n] = u
	}
	return u
}

func (w *wire) stream(l link) *stream {
	lives := [2]int{l.client.Generation(), l.server.Generation()}
	s := w.links[l]
	if s == nil || s.lives != lives {
		s = &stream{lives: lives}
		s.encoder, s.decoder = peer.NewEncoder(&s.buffer), msgpack.NewDecoder(&s.buffer)
		w.links[l] = s
	}
	return s
}

// carry encodes a body, counts its bytes and returns what the receiver decodes.
func (w *wire) carry(from, to *fleet.Node, request bool, body any) any {
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
	a, b := w.of(from), w.of(to)
	a.sent, a.messages, a.cpu = a.sent+size, a.messages+1, a.cpu+middle.Sub(begin)
	b.received, b.cpu = b.received+size, b.cpu+end.Sub(middle)
	a.kinds[name] += size
	b.kinds[name] += size
	return got.Interface()
}

// must stops the run on an encoding error: every message must be encodable.
func must(err error) {
	if err != nil {
		panic(errors.Wrap(err, "message"))
	}
}

// handling measures the time that a daemon spends deciding.
func (w *wire) handling(n *fleet.Node, run func()) {
	begin := time.Now()
	run()
	w.of(n).cpu += time.Since(begin)
}
