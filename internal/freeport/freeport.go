// Package freeport chooses ports for servers that tests start as processes. They are below those
// that the system gives to outgoing connections: one of these would take a port between the test
// that chose it and the process that listens on it.
package freeport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The range of ports; most systems give higher ones to outgoing connections.
const (
	firstPort = 20_000
	ports     = 12_000
)

// next is the next port to try, from firstPort. Processes begin at different ones.
var next atomic.Uint32

func init() { next.Store(uint32(os.Getpid()) * 61) }

// Address returns a loopback address on which no process listens, each one once.
func Address() (string, error) {
	for range ports {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+next.Add(1)%ports)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no port is free")
}
