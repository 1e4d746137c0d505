// Package peertest provides an in-memory network of peer links for tests, with
// injected faults between pairs of hosts.
package peertest

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"bilberrydale/process/peer"
)

// Network delivers calls between the links that joined it. It is safe for
// concurrent use.
type Network struct {
	mu     sync.Mutex          // guards the fields below and the handlers of the links
	links  map[string]*Link    // by host name
	faults map[[2]string]fault // by caller and callee
	bytes  map[string]int64    // of payloads sent and received, by host
	calls  map[string]int64    // by calling host
}

// fault is the way in which calls from one host to another fail.
type fault int

const (
	dropRequests    fault = iota + 1 // calls do not reach the callee
	dropResponses                    // calls are executed, responses are lost
	staleConnection                  // calls are lost until Reconnect
)

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{links: map[string]*Link{}, faults: map[[2]string]fault{}, bytes: map[string]int64{}, calls: map[string]int64{}}
}

// Link implements peer.Link and membership.Transport for one host of a Network.
type Link struct {
	net      *Network
	self     peer.Identity
	handlers map[peer.Method]peer.Handler // guarded by Network.mu
}

// Join adds a host. It replaces a host of the same name, as a restart does.
func (n *Network) Join(self peer.Identity) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &Link{net: n, self: self, handlers: map[peer.Method]peer.Handler{}}
	n.links[self.Host] = l
	return l
}

// Leave removes a host, as if its process was killed.
func (n *Network) Leave(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, host)
}

// Partition makes calls between a and b fail before they are delivered, in both
// directions.
func (n *Network) Partition(a, b string) {
	n.setFault(a, b, dropRequests)
	n.setFault(b, a, dropRequests)
}

// LoseResponses delivers calls from a to b but drops b's responses.
func (n *Network) LoseResponses(a, b string) { n.setFault(a, b, dropResponses) }

// Heal removes all faults between a and b, in both directions.
func (n *Network) Heal(a, b string) { n.setFault(a, b, 0); n.setFault(b, a, 0) }

// setFault sets the fault of calls from a to b; 0 removes it.
func (n *Network) setFault(a, b string, f fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[[2]string{a, b}] = f
}

// Traffic returns the number of calls that host made and the payload bytes that
// it sent and received.
func (n *Network) Traffic(host string) (calls, bytes int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[host], n.bytes[host]
}

// Self implements peer.Link.
func (l *Link) Self() peer.Identity { return l.self }

// Peers implements peer.Link.
func (l *Link) Peers() []peer.Identity {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	var out []peer.Identity
	for name, other := range l.net.links {
		if name != l.self.Host {
			out = append(out, other.self)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

// Handle implements peer.Link.
func (l *Link) Handle(m peer.Method, h peer.Handler) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	l.handlers[m] = h
}

// Call implements peer.Link.
func (l *Link) Call(ctx context.Context, host string, m peer.Method, in, out any) error {
	payload, err := peer.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", m, err)
	}
	l.net.mu.Lock()
	callee, f := l.net.links[host], l.net.faults[[2]string{l.self.Host, host}]
	var h peer.Handler
	if callee != nil {
		h = callee.handlers[m]
	}
	l.net.calls[l.self.Host]++
	l.net.mu.Unlock()
	if callee == nil || f == dropRequests {
		return peer.ErrUnreachable
	}
	if f == staleConnection {
		return peer.ErrNoResponse
	}
	if h == nil {
		return peer.FailureResponse("no handler for " + string(m))
	}
	response, err := h(ctx, l.self, payload)
	l.net.countBytes(l.self.Host, host, len(payload)+len(response))
	if f == dropResponses || ctx.Err() != nil {
		return peer.ErrNoResponse
	}
	if err != nil {
		return fmt.Errorf("%w: %w", peer.ErrFailureResponse, err)
	}
	if out == nil {
		return nil
	}
	return msgpack.Unmarshal(response, out)
}

// countBytes adds the payload bytes of a call to the traffic of both hosts.
func (n *Network) countBytes(a, b string, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[a] += int64(size)
	n.bytes[b] += int64(size)
}
