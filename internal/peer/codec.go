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
)

// bufferBytes is the size of the buffers of a connection. Most messages are smaller, and a daemon may have a connection from
// and to each other one.
const bufferBytes = 1 << 10

// Header goes before the body of each message. Error is set in answers only. Layout is that of the sender's messages.
type Header struct {
	Layout uint32
	Method string
	Seq    uint64
	Error  string
}

// Layout covers the fields of all messages in their order. Daemons of releases that differ in it do not understand each
// other's messages and refuse them; meanwhile they learn of changes from the platform.
var Layout = layoutOf()

func layoutOf() uint32 {
	digest := xxhash.New()
	seen := map[reflect.Type]bool{}
	for _, m := range methods {
		_, _ = digest.WriteString(m.name) // never fails
		describe(digest, seen, reflect.TypeOf(m.request))
		describe(digest, seen, reflect.TypeOf(m.newReply()))
	}
	return uint32(digest.Sum64())
}

// describe writes the wire names and kinds of a type's fields. The wire name of a field is its tag "wire", or else its Go name,
// so that a field can be renamed in Go without a change of the layout.
func describe(w io.Writer, seen map[reflect.Type]bool, t reflect.Type) {
	_, _ = fmt.Fprint(w, t.Kind(), " ") // a digest takes everything
	if seen[t] {
		return
	}
	seen[t] = true
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		describe(w, seen, t.Elem())
	case reflect.Map:
		describe(w, seen, t.Key())
		describe(w, seen, t.Elem())
	case reflect.Struct:
		for i := range t.NumField() {
			field := t.Field(i)
			name, ok := field.Tag.Lookup("wire")
			if !ok {
				name = field.Name
			}
			_, _ = fmt.Fprint(w, name, " ")
			describe(w, seen, field.Type)
		}
	}
}

// errLayout ends a connection to a daemon of another release.
var errLayout = errors.New("the peer's messages have another layout")

// NewEncoder returns an encoder for the messages between daemons. Structs are arrays of their fields in order; see Layout.
// Unlike with gob, a connection carries no types, and their compiled form is kept once per process and not per connection.
func NewEncoder(w io.Writer) *msgpack.Encoder {
	e := msgpack.NewEncoder(w)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	return e
}

// Times are nanoseconds since 1970 in UTC. The library's own form loses the time zone, so that a decoded target would differ
// from the same one read from the platform.
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
	// refused is told why a connection is given up; nil tells nobody.
	refused func(error)
	writer  *bufio.Writer
	enc     *msgpack.Encoder
	dec     *msgpack.Decoder
}

func newCodec(conn io.ReadWriteCloser, refused func(error)) *codec {
	w := bufio.NewWriterSize(conn, bufferBytes)
	return &codec{conn: conn, refused: refused, writer: w, enc: NewEncoder(w), dec: msgpack.NewDecoder(bufio.NewReaderSize(conn, bufferBytes))}
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

// readBody decodes a body, or skips it if the receiver does not want it.
func (c *codec) readBody(body any) error {
	if body == nil {
		return c.dec.Skip()
	}
	return c.dec.Decode(body)
}

// readHeader returns the bare error, since net/rpc tells the end of a connection by io.EOF.
func (c *codec) readHeader() (Header, error) {
	var h Header
	err := c.dec.Decode(&h)
	if err == nil && h.Layout != Layout {
		err = errLayout
		if c.refused != nil {
			c.refused(err)
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
	return err
}

func (c *codec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(Header{Layout: Layout, Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
	if err != nil {
		// net/rpc drops the error; the peer must not wait for the rest of the message.
		_ = c.Close()
	}
	return err
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }
