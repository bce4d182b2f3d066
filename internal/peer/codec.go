package peer

import (
	"bufio"
	"fmt"
	"io"
	"net/rpc"
	"reflect"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// bufferSize is the size of the read and write buffers of a connection in bytes. Most messages are smaller, and a daemon may
// have connections from and to every other daemon.
const bufferSize = 1 << 10

// Header precedes the body of each message. Error is set in replies only. Layout is the sender's Layout.
type Header struct {
	Layout uint32
	Method string
	Seq    uint64
	Error  string
}

// Layout is a digest of the fields of all messages in order. Daemons of releases with different layouts cannot decode each
// other's messages and refuse them; until the upgrade is complete, they read changes from the platform.
var Layout = computeLayout()

func computeLayout() uint32 {
	digest := xxhash.New()
	seen := map[reflect.Type]bool{}
	for _, m := range methods {
		_, _ = digest.WriteString(m.name) // never fails
		writeType(digest, seen, reflect.TypeOf(m.request))
		writeType(digest, seen, reflect.TypeOf(m.newReply()))
	}
	return uint32(digest.Sum64())
}

// writeType writes the wire names and kinds of a type's fields. The wire name of a field is its tag "wire" or else its Go name,
// so that a field can be renamed in Go without changing the layout.
func writeType(w io.Writer, seen map[reflect.Type]bool, t reflect.Type) {
	_, _ = fmt.Fprint(w, t.Kind(), " ") // writing to a digest never fails
	if seen[t] {
		return
	}
	seen[t] = true
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		writeType(w, seen, t.Elem())
	case reflect.Map:
		writeType(w, seen, t.Key())
		writeType(w, seen, t.Elem())
	case reflect.Struct:
		for i := range t.NumField() {
			field := t.Field(i)
			name, ok := field.Tag.Lookup("wire")
			if !ok {
				name = field.Name
			}
			_, _ = fmt.Fprint(w, name, " ")
			writeType(w, seen, field.Type)
		}
	}
}

// errLayoutMismatch is the error that closes a connection to a daemon of another release.
var errLayoutMismatch = errors.New("the peer's messages have another layout")

// NewEncoder returns an encoder for the messages between daemons. Structs are encoded as arrays of their fields in order; see
// Layout. Unlike gob, this sends no type descriptions, and the compiled codecs are kept once per process and not per
// connection.
func NewEncoder(w io.Writer) *msgpack.Encoder {
	e := msgpack.NewEncoder(w)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	return e
}

// Times are encoded as nanoseconds since 1970 in UTC. The library's own encoding loses the time zone, so that a decoded target
// would differ from the same target read from the platform.
func init() {
	msgpack.Register(time.Time{}, encodeTime, decodeTime)
}

func encodeTime(e *msgpack.Encoder, v reflect.Value) error {
	t, ok := v.Interface().(time.Time)
	if !ok || t.IsZero() {
		return e.EncodeNil()
	}
	return e.EncodeInt64(t.UnixNano())
}

func decodeTime(d *msgpack.Decoder, v reflect.Value) error {
	var nanos *int64
	if err := d.Decode(&nanos); err != nil {
		return err
	}
	t := time.Time{}
	if nanos != nil {
		t = time.Unix(0, *nanos).UTC()
	}
	v.Set(reflect.ValueOf(t))
	return nil
}

// codec implements rpc.ClientCodec and rpc.ServerCodec on one connection.
type codec struct {
	conn io.ReadWriteCloser
	// onRefused is called with the reason if a connection is refused; it may be nil.
	onRefused func(error)
	writer    *bufio.Writer
	enc       *msgpack.Encoder
	dec       *msgpack.Decoder
	// running holds an element per request of the peer that has no response yet, at most maxRunning; nil for a client.
	running chan struct{}
}

// maxRunning bounds the requests of a connection that run concurrently. A daemon has a few at once to each other daemon.
const maxRunning = 16

// newServerCodec returns the codec of a connection that was accepted. The guard may be nil.
func newServerCodec(conn io.ReadWriteCloser, guard Guard, onRefused func(error)) *codec {
	c := newGuardedCodec(conn, guard, onRefused)
	c.running = make(chan struct{}, maxRunning)
	return c
}

func newCodec(conn io.ReadWriteCloser, onRefused func(error)) *codec {
	return newGuardedCodec(conn, nil, onRefused)
}

func newGuardedCodec(conn io.ReadWriteCloser, guard Guard, onRefused func(error)) *codec {
	w := bufio.NewWriterSize(conn, bufferSize)
	return &codec{
		conn: conn, onRefused: onRefused, writer: w, enc: NewEncoder(w),
		dec: msgpack.NewDecoder(newValueReader(conn, guard)),
	}
}

func (c *codec) write(h Header, body any) error {
	if err := c.enc.Encode(&h); err != nil {
		return errors.Wrap(err, "encode header")
	}
	if err := c.enc.Encode(body); err != nil {
		return errors.Wrapf(err, "encode %s", h.Method)
	}
	return errors.WithStack(c.writer.Flush())
}

// readBody decodes a message body, or skips it if body is nil.
func (c *codec) readBody(body any) error {
	if body == nil {
		return skipValue(c.dec)
	}
	return c.dec.Decode(body)
}

// skipValue skips a value without recursion: a value that is nested deeply enough would exhaust the stack, which ends the process.
func skipValue(d *msgpack.Decoder) error {
	for pending := 1; pending > 0; pending-- {
		code, err := d.PeekCode()
		if err != nil {
			return err
		}
		elements := 0
		switch {
		case msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32:
			elements, err = d.DecodeArrayLen()
		case msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32:
			elements, err = d.DecodeMapLen()
			elements *= 2
		default:
			err = d.Skip()
		}
		if err != nil {
			return err
		}
		pending += elements
	}
	return nil
}

// readHeader returns errors unwrapped, since net/rpc compares them with io.EOF to detect the end of a connection.
func (c *codec) readHeader() (Header, error) {
	var h Header
	err := c.dec.Decode(&h)
	if err == nil && h.Layout != Layout {
		err = errLayoutMismatch
		if c.onRefused != nil {
			c.onRefused(err)
		}
	}
	return h, err
}

func (c *codec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(Header{Layout: Layout, Method: r.ServiceMethod, Seq: r.Seq}, body)
}

func (c *codec) ReadResponseHeader(r *rpc.Response) error {
	h, err := c.readHeader()
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Seq, h.Error
	return err
}

func (c *codec) ReadResponseBody(body any) error { return c.readBody(body) }

func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	h, err := c.readHeader()
	r.ServiceMethod, r.Seq = h.Method, h.Seq
	if err == nil && c.running != nil {
		c.running <- struct{}{}
	}
	return err
}

func (c *codec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	if c.running != nil {
		defer func() { <-c.running }()
	}
	err := c.write(Header{Layout: Layout, Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
	if err != nil {
		// net/rpc ignores the error. The connection is closed so that the peer does not wait for the rest of the message.
		_ = c.Close()
	}
	return err
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }
