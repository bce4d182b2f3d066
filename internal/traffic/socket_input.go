package traffic

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hasInput reports whether a read or accept on a socket would return at once. It is false for anything but a socket.
func hasInput(socket any) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) // an error counts as no input
	})
	return err == nil && ready > 0
}
