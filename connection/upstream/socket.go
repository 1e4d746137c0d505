package upstream

import (
	"net"
	"net/url"
	"time"

	"golang.org/x/sys/unix"
)

// A path that carries nothing is noticed even if nothing is sent on it. Connections that are used
// every other second are not probed.
const (
	keepAliveIdle     = 2 * time.Second // without data, until the first probe
	keepAliveInterval = time.Second     // between probes
)

// setTimeouts closes c when the other end acknowledges neither data nor probes for userTimeout.
// Without it, a connection to a host that has disappeared waits for minutes.
func setTimeouts(c *net.TCPConn, userTimeout time.Duration) error {
	// The count is that of the system; userTimeout ends the probes.
	if err := c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: -1}); err != nil {
		return err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// idleState is the state of a connection on which no response is due.
type idleState int

const (
	idleOpen   idleState = iota // open, with no data to read
	idleEnded                   // closed by the server, or with data that belongs to no request
	idleFailed                  // reset, or its other end acknowledges nothing
)

// idleState returns the state of an idle connection. Only on an open one the next request has a
// chance, and what it reads is its response.
func (k *conn) idleState() idleState {
	raw, err := k.tcp.SyscallConn()
	if err != nil {
		return idleEnded
	}
	state := idleFailed
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch err {
		case unix.EAGAIN:
			state = idleOpen
		case nil:
			state = idleEnded
		}
		return true
	})
	if err != nil {
		return idleEnded // closed by this end
	}
	return state
}

// opaqueURL returns a URL that is written unchanged. Parsing and formatting it again could
// change the escaping.
func opaqueURL(uri string) *url.URL {
	return &url.URL{Opaque: uri}
}
