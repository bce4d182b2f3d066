package peer

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against a message that is nested so deeply that skipping it exhausts the stack, which ends the process.
func TestDeeplyNestedBodyIsSkipped(t *testing.T) {
	is := is.New(t)
	const depth = 8 << 20
	const arrayOfOne = 0x91
	data := append(bytes.Repeat([]byte{arrayOfOne}, depth), 0x01, 0x07)
	d := msgpack.NewDecoder(bytes.NewReader(data))
	is.NoErr(skipValue(d))
	next, err := d.DecodeInt()
	is.NoErr(err)
	is.Equal(next, 7)
}

// Guards against a message of a peer that crashes the daemon.
func FuzzMessages(f *testing.F) {
	for _, m := range methods {
		var buffer bytes.Buffer
		if err := NewEncoder(&buffer).Encode(m.newReply()); err != nil {
			f.Fatal(err)
		}
		f.Add(buffer.Bytes())
	}
	f.Add(bytes.Repeat([]byte{0x91}, 1000))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		for _, m := range methods {
			c := &codec{dec: msgpack.NewDecoder(newValueReader(bytes.NewReader(data), nil))}
			_ = c.readBody(m.newReply())
			_ = c.readBody(nil)
		}
	})
}
