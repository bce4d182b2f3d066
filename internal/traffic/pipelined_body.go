package traffic

import (
	"io"
	"sync"
)

// pipelinedBody is a request body that the handler reads from the connection. It counts what has been read.
type pipelinedBody struct {
	io.ReadCloser

	mu sync.Mutex
	// read is the number of bytes read, ended says that they are the whole body.
	read  int64
	ended bool
}

func (b *pipelinedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read += int64(n)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// progress returns the number of bytes read and whether they are the whole body.
func (b *pipelinedBody) progress() (read int64, ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read, b.ended
}
