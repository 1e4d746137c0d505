// Package peertest is an in-memory network of peer links for tests, with cuts
// between hosts and between groups of hosts.
package peertest

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"bilberrydale/process/peer"
)

// Network connects the links that joined it.
type Network struct {
	mu    sync.Mutex
	links map[string]*Link
	cuts  map[[2]string]cut
	bytes map[string]int64
	calls map[string]int64
}

type cut int

const (
	cutBefore     cut = iota + 1 // calls do not reach the peer
	cutAfter                     // calls reach the peer, answers are lost
	cutConnection                // calls get lost until a fresh connection is opened
)

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{links: map[string]*Link{}, cuts: map[[2]string]cut{}, bytes: map[string]int64{}, calls: map[string]int64{}}
}

// Link is one host's end; it implements peer.Link.
type Link struct {
	net      *Network
	self     peer.Identity
	handlers map[peer.Method]peer.Handler
}

// Join adds a host; a host of the same name is replaced, as by a restart.
func (n *Network) Join(self peer.Identity) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &Link{net: n, self: self, handlers: map[peer.Method]peer.Handler{}}
	n.links[self.Host] = l
	return l
}

// Leave removes a host, as by kill.
func (n *Network) Leave(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, host)
}

// Cut stops calls from a to b and from b to a.
func (n *Network) Partition(a, b string) { n.set(a, b, cutBefore); n.set(b, a, cutBefore) }

// LoseAnswers lets calls from a reach b but loses b's answers.
func (n *Network) LoseResponses(a, b string) { n.set(a, b, cutAfter) }

// Heal undoes Cut and LoseAnswers between a and b.
func (n *Network) Heal(a, b string) { n.set(a, b, 0); n.set(b, a, 0) }

func (n *Network) set(a, b string, c cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = c
}

// Traffic returns the calls a host made and the payload bytes it sent and got.
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
	payload, err := msgpack.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", m, err)
	}
	l.net.mu.Lock()
	to, c := l.net.links[host], l.net.cuts[[2]string{l.self.Host, host}]
	var h peer.Handler
	if to != nil {
		h = to.handlers[m]
	}
	l.net.calls[l.self.Host]++
	l.net.mu.Unlock()
	if to == nil || c == cutBefore {
		return peer.ErrUnreachable
	}
	if c == cutConnection {
		return peer.ErrNoResponse
	}
	if h == nil {
		return fmt.Errorf("%w: no handler for %s", peer.ErrRefused, m)
	}
	answer, err := h(ctx, l.self, payload)
	l.net.count(l.self.Host, host, len(payload)+len(answer))
	if c == cutAfter || ctx.Err() != nil {
		return peer.ErrNoResponse
	}
	if err != nil {
		return fmt.Errorf("%w: %w", peer.ErrRefused, err)
	}
	if out == nil {
		return nil
	}
	return msgpack.Unmarshal(answer, out)
}

func (n *Network) count(a, b string, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[a] += int64(size)
	n.bytes[b] += int64(size)
}
