package upstream

import (
	"net"
	"net/url"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long sent bytes may stay unacknowledged. Without it
// a connection to a host that vanished waits for minutes.
func setUserTimeout(c *net.TCPConn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// quiet reports whether an idle connection is open and has nothing to read. A
// closed one would lose the next request, and bytes that wait there belong to
// no request.
func (k *conn) isReusable() bool {
	raw, err := k.tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// rawURL carries path and query unchanged: parsing and printing them again
// could change an escape.
func opaqueURL(uri string) *url.URL {
	return &url.URL{Opaque: uri}
}
