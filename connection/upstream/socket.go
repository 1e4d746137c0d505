package upstream

import (
	"net"
	"net/url"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout closes c when sent data has not been acknowledged for d. Without it, a
// connection to a host that has disappeared waits for minutes.
func setUserTimeout(c *net.TCPConn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// isReusable reports whether an idle connection is open and has no data to read: on a
// connection closed by the server the next request would be lost, and data that has arrived
// belongs to no request.
func (k *conn) isReusable() bool {
	raw, err := k.tcp.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}

// opaqueURL returns a URL that is written unchanged. Parsing and formatting it again could
// change the escaping.
func opaqueURL(uri string) *url.URL {
	return &url.URL{Opaque: uri}
}
