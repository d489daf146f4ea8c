package linger

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// unsentBytes returns the number of bytes that the caller's host has not
// acknowledged, with the end of the writing side as one, or unknownUnsent.
func (c *conn) unsentBytes() int {
	unsent := unknownUnsent
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return unsent
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return unsent
	}
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unsent = n
		}
	})
	if err != nil {
		return unknownUnsent
	}
	return unsent
}
