package peer

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	_ "sniperail.example/sniperail/internal/testseed"
)

// boundedGuard grants a number of bytes.
type boundedGuard struct{ left int64 }

func (g *boundedGuard) Reserve(n int64) bool {
	if n > g.left {
		return false
	}
	g.left -= n
	return true
}
func (g *boundedGuard) Release(n int64)                 { g.left += n }
func (g *boundedGuard) AwaitInput()                     {}
func (g *boundedGuard) Received()                       {}
func (g *boundedGuard) SetReadDeadline(time.Time) error { return nil }

// Guards against a value whose end is found at another byte than the decoder's, which would mix up the messages behind it, and against
// bytes that stay charged.
func TestValuesArePassedOnUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var value func(depth int) any
		value = func(depth int) any {
			kinds := 8
			if depth == 0 {
				kinds = 6
			}
			switch rapid.IntRange(0, kinds-1).Draw(t, "kind") {
			case 0:
				return rapid.Int64().Draw(t, "int")
			case 1:
				return rapid.StringN(0, 70_000, 70_000).Draw(t, "string")
			case 2:
				return rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "bytes")
			case 3:
				return rapid.Float64().Draw(t, "float")
			case 4:
				return rapid.Bool().Draw(t, "bool")
			case 5:
				return nil
			case 6:
				list := make([]any, rapid.IntRange(0, 20).Draw(t, "length"))
				for i := range list {
					list[i] = value(depth - 1)
				}
				return list
			}
			return map[string]any{"a": value(depth - 1), "b": value(depth - 1)}
		}
		var sent bytes.Buffer
		encoder := NewEncoder(&sent)
		n := rapid.IntRange(1, 5).Draw(t, "values")
		for range n {
			if err := encoder.Encode(value(2)); err != nil {
				t.Fatal(err)
			}
		}
		guard := &boundedGuard{left: 1 << 30}
		guarded := newValueReader(bytes.NewReader(sent.Bytes()), guard)
		plain, decoder := msgpack.NewDecoder(bytes.NewReader(sent.Bytes())), msgpack.NewDecoder(guarded)
		for range n {
			want, err := plain.DecodeRaw()
			if err != nil {
				t.Fatal(err)
			}
			got, err := decoder.DecodeRaw()
			if err != nil || !bytes.Equal(got, want) {
				t.Fatalf("%x instead of %x: %v", got, want, err)
			}
		}
		if _, err := guarded.ReadByte(); err != io.EOF || guard.left != 1<<30 {
			t.Fatalf("%v, %d bytes are left", err, guard.left)
		}
	})
}

// Guards against ten bytes that end the process, because the decoder allocates the elements that an array names.
func TestValuesThatTakeTooMuchAreRefused(t *testing.T) {
	is := is.New(t)
	for _, message := range [][]byte{
		{0xdd, 0xff, 0xff, 0xff, 0xff},
		{0xdf, 0xff, 0xff, 0xff, 0xff},
		append([]byte{0xdd, 0, 0x10, 0, 0}, bytes.Repeat([]byte{0xc0}, 1<<20)...),
		append([]byte{0xdb, 0xff, 0xff, 0xff, 0xff}, make([]byte, 1<<21)...),
	} {
		guard := &boundedGuard{left: 1 << 20}
		v := newValueReader(bytes.NewReader(message), guard)
		_, err := v.ReadByte()
		is.Equal(err, errMessageTooLong)
		is.True(v.value.Cap() < 1<<21)
	}
	_, err := newValueReader(bytes.NewReader([]byte{0x91}), nil).ReadByte()
	is.Equal(err, io.ErrUnexpectedEOF)
	_, err = newValueReader(bytes.NewReader([]byte{0xc1}), nil).ReadByte()
	is.Equal(err, errMessageInvalid)
}
