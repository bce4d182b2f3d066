package traffic

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasInput reports whether a read or accept on a socket would return at once. It is false for anything but a socket.
func hasInput(socket any) bool {
	ready := 0
	ok := controlSocket(socket, func(fd int) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) // an error counts as no input
	})
	return ok && ready > 0
}

// hasUnsent reports whether a socket holds bytes that the other side has not acknowledged. It is false for anything but a socket.
func hasUnsent(socket any) bool {
	unsent := 0
	ok := controlSocket(socket, func(fd int) {
		unsent, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) // an error counts as none
	})
	return ok && unsent > 0
}

// controlSocket calls f with the file descriptor of a socket, and returns false if there is none.
func controlSocket(socket any, f func(fd int)) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// systemLinger leaves it to the system how a socket with unsent bytes is closed.
const systemLinger = -1

// reset closes a connection without sending what the other end has not read.
func reset(conn net.Conn) {
	setResetOnClose(conn, true)
	_ = conn.Close()
}

// setResetOnClose makes any close of a connection, also that at the end of the process, a reset, or an orderly end again. A response whose
// end is that of the connection does not look complete then before it is.
func setResetOnClose(conn net.Conn, on bool) {
	tcp, ok := conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return
	}
	seconds := systemLinger
	if on {
		seconds = 0
	}
	_ = tcp.SetLinger(seconds) // fails only if the connection is closed
}
