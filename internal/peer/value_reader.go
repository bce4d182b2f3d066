package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Guard accounts for what a connection holds. The connections of a listener that bounds its callers implement it.
type Guard interface {
	// Reserve takes bytes before they are held, and returns false if they must not be. Release returns them.
	Reserve(n int64) bool
	Release(n int64)
	// AwaitInput marks that a message has begun, Received that it is complete.
	AwaitInput()
	Received()
	// SetReadDeadline sets the time at which reads fail.
	SetReadDeadline(t time.Time) error
}

const (
	// longArray is the length from which the elements of an array may be structs; those of a struct are fewer. The decoder allocates
	// the struct of an element that takes one byte in the message, and elementBytes is charged for that.
	longArray    = 64
	elementBytes = 512
	// valueBytes is charged for any other value.
	valueBytes = 16
	// maxValueCost bounds a message of which nobody accounts for the bytes, such as the reply of a daemon.
	maxValueCost = 256 << 20
	// payloadStep is the part of a long string that is reserved and read at once.
	payloadStep = 64 << 10
	// messageTimeout bounds the time from the first byte of a message to its last. A peer sends it at once, and the largest take less
	// than a second at 10 Mbit/s.
	messageTimeout = 10 * time.Second
)

var (
	errMessageTooLong = errors.New("the message takes more memory than there is for it")
	errMessageInvalid = errors.New("the message is no MessagePack")
)

// valueReader passes on whole MessagePack values. The decoder allocates as many elements as an array names before it reads them, so that
// a message of ten bytes could take all memory; a valueReader has seen and charged them first.
type valueReader struct {
	source *bufio.Reader
	// guard accounts for the values; nil if nobody does.
	guard Guard
	// value is the present value, and cost what was charged for it.
	value bytes.Buffer
	ready bytes.Reader
	cost  int64
}

func newValueReader(source io.Reader, guard Guard) *valueReader {
	return &valueReader{source: bufio.NewReaderSize(source, bufferSize), guard: guard}
}

// Read reads from the present value, or from the next one after its end.
func (v *valueReader) Read(p []byte) (int, error) {
	if err := v.fill(); err != nil {
		return 0, err
	}
	return v.ready.Read(p)
}

// ReadByte is Read for one byte.
func (v *valueReader) ReadByte() (byte, error) {
	if err := v.fill(); err != nil {
		return 0, err
	}
	return v.ready.ReadByte()
}

// UnreadByte makes the last byte be read again.
func (v *valueReader) UnreadByte() error { return v.ready.UnreadByte() }

// fill waits for the next value if the present one has been read.
func (v *valueReader) fill() error {
	if v.ready.Len() > 0 {
		return nil
	}
	if v.value.Cap() > payloadStep {
		v.value = bytes.Buffer{} // the buffer of a long message is not kept
	}
	v.value.Reset()
	if v.guard != nil {
		v.guard.Release(v.cost)
	}
	v.cost = 0
	if _, err := v.source.Peek(1); err != nil {
		return err
	}
	if v.guard != nil {
		v.guard.AwaitInput()
		_ = v.guard.SetReadDeadline(time.Now().Add(messageTimeout)) // fails only if the connection is closed
	}
	if err := v.scan(); err != nil {
		return err
	}
	if v.guard != nil {
		_ = v.guard.SetReadDeadline(time.Time{})
		v.guard.Received()
	}
	v.ready.Reset(v.value.Bytes())
	return nil
}

// scan reads one value with all its elements.
func (v *valueReader) scan() error {
	for pending := int64(1); pending > 0; pending-- {
		code, err := v.source.ReadByte()
		if err != nil {
			return unexpected(err)
		}
		_ = v.value.WriteByte(code) // never fails
		length, elements, err := v.measure(code)
		if err != nil {
			return err
		}
		charge := int64(valueBytes)
		if elements > longArray {
			charge += elements * elementBytes
		}
		if err := v.reserve(charge); err != nil {
			return err
		}
		if err := v.copy(length); err != nil {
			return err
		}
		pending += elements
	}
	return nil
}

// reserve charges for a part of the value.
func (v *valueReader) reserve(n int64) error {
	v.cost += n
	if v.guard == nil {
		if v.cost > maxValueCost {
			return errMessageTooLong
		}
		return nil
	}
	if !v.guard.Reserve(n) {
		v.cost -= n
		return errMessageTooLong
	}
	return nil
}

// copy copies the bytes of a string or number.
func (v *valueReader) copy(n int64) error {
	for n > 0 {
		step := min(n, payloadStep)
		if err := v.reserve(2 * step); err != nil { // in the message and decoded
			return err
		}
		if _, err := io.CopyN(&v.value, v.source, step); err != nil {
			return unexpected(err)
		}
		n -= step
	}
	return nil
}

// fixedLengths are the bytes that follow the codes of values of a fixed length.
var fixedLengths = map[byte]int64{
	msgpcode.Nil: 0, msgpcode.False: 0, msgpcode.True: 0, msgpcode.Float: 4, msgpcode.Double: 8,
	msgpcode.Uint8: 1, msgpcode.Uint16: 2, msgpcode.Uint32: 4, msgpcode.Uint64: 8,
	msgpcode.Int8: 1, msgpcode.Int16: 2, msgpcode.Int32: 4, msgpcode.Int64: 8,
	msgpcode.FixExt1: 2, msgpcode.FixExt2: 3, msgpcode.FixExt4: 5, msgpcode.FixExt8: 9, msgpcode.FixExt16: 17,
}

// lengthBytes are the bytes of the length that follows the codes of strings, arrays, maps and extensions.
var lengthBytes = map[byte]int{
	msgpcode.Str8: 1, msgpcode.Str16: 2, msgpcode.Str32: 4, msgpcode.Bin8: 1, msgpcode.Bin16: 2, msgpcode.Bin32: 4,
	msgpcode.Array16: 2, msgpcode.Array32: 4, msgpcode.Map16: 2, msgpcode.Map32: 4,
	msgpcode.Ext8: 1, msgpcode.Ext16: 2, msgpcode.Ext32: 4,
}

// measure returns the bytes that follow a code, and the number of values behind these that belong to it.
func (v *valueReader) measure(code byte) (length, elements int64, err error) {
	switch {
	case msgpcode.IsFixedNum(code):
		return 0, 0, nil
	case msgpcode.IsFixedString(code):
		return int64(code & msgpcode.FixedStrMask), 0, nil
	case msgpcode.IsFixedArray(code):
		return 0, int64(code & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedMap(code):
		return 0, 2 * int64(code&msgpcode.FixedMapMask), nil
	}
	if length, ok := fixedLengths[code]; ok {
		return length, 0, nil
	}
	size, ok := lengthBytes[code]
	if !ok {
		return 0, 0, errMessageInvalid
	}
	var text [8]byte
	if _, err := io.ReadFull(v.source, text[8-size:]); err != nil {
		return 0, 0, unexpected(err)
	}
	_, _ = v.value.Write(text[8-size:]) // never fails
	n := int64(binary.BigEndian.Uint64(text[:]))
	switch code {
	case msgpcode.Array16, msgpcode.Array32:
		return 0, n, nil
	case msgpcode.Map16, msgpcode.Map32:
		return 0, 2 * n, nil
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		return n + 1, 0, nil // with the type
	}
	return n, 0, nil
}

// unexpected returns the error of an end within a value.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
