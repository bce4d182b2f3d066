package traffic

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/command/callers"
)

// Guards against uploads of unknown length that lose bytes, that occupy a target before they are complete, or that pass for complete
// although they broke off or are over the limit.
func TestUploadsOfUnknownLengthAreReadWhole(t *testing.T) {
	limits := Limits{BufferedBodyBytes: MaxBufferedUpload, Pace: callers.Pace{Grace: time.Minute, Rate: 1}}
	const limit = 1 << 20
	for _, n := range []int{1, maxReplayBody, maxReplayBody + 1, 300_000, MaxBufferedUpload - 1, MaxBufferedUpload, 900_000} {
		is := is.New(t)
		content := bytes.Repeat([]byte("upload "), n/7+1)[:n]
		read := func(body io.Reader, limit int64) (*requestBody, *refusal) {
			r := httptest.NewRequest(http.MethodPost, "/", body)
			r.ContentLength = -1
			return readRequestBody(httptest.NewRecorder(), r, limits, limit, time.Now().Add(time.Minute))
		}
		b, refused := read(bytes.NewReader(content), limit)
		is.True(refused == nil)
		is.Equal(b.rest == nil, n < MaxBufferedUpload)
		got := b.buffered
		if b.rest != nil {
			rest, err := io.ReadAll(b.rest)
			is.NoErr(err)
			got = append(got, rest...)
		} else {
			is.Equal(b.length, int64(n))
		}
		is.True(bytes.Equal(got, content))
		if n < MaxBufferedUpload {
			_, refused = read(io.MultiReader(bytes.NewReader(content), iotest.ErrReader(io.ErrUnexpectedEOF)), limit)
			is.Equal(refused.status, http.StatusBadRequest)
		}
		if n > maxReplayBody+1 && n < MaxBufferedUpload {
			_, refused = read(bytes.NewReader(content), int64(n-1))
			is.Equal(refused.status, http.StatusRequestEntityTooLarge)
		}
	}
}
