package sidecar_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/sidecar"
)

// Guards against a drain that announces its end for longer than its grace period, at whose end the process is killed.
func TestNoticesFitIntoTheGracePeriod(t *testing.T) {
	is := is.New(t)
	for grace := time.Second; grace <= time.Minute; grace += time.Second {
		target, all := sidecar.DrainNotices(grace)
		is.True(0 < target && target < all && all < grace/2)
	}
	target, all := sidecar.DrainNotices(6 * time.Second)
	is.Equal(target, 1500*time.Millisecond)
	is.Equal(all, 2300*time.Millisecond)
}

// pipeListener accepts one connection, which has no buffers: a response is written only when its caller reads.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// Guards against the response to an executed call that is cut, because the process ends before it was written.
func TestEndOfADrainWaitsForResponsesThatAreNotWritten(t *testing.T) {
	is := is.New(t)
	caller, accepted := net.Pipe()
	listener := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	listener.conns <- accepted
	returned := make(chan struct{})
	closeServer := sidecar.ServeUntilClosed(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(returned)
		_, _ = io.WriteString(w, "executed") // the server writes it after the handler has returned
	}))
	_, err := io.WriteString(caller, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	<-returned
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		closeServer(context.Background())
	}()
	<-listener.closed
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "executed")
	<-ended
}
