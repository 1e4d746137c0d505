package serverpath

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/peer"
)

const (
	// checkInterval is the time between two rounds of questions to possible carriers while this
	// host is cut off.
	checkInterval = 500 * time.Millisecond
	// checkTimeout bounds a question; a handshake between regions takes less.
	checkTimeout = 400 * time.Millisecond
	// askedPerDomain and askedAtMost bound the hosts that are asked in a round.
	askedPerDomain = 3
	askedAtMost    = 16
	// keptCarriers is the number of carriers that are asked in each round beside these.
	keptCarriers = 4
)

// carriers knows the hosts that send requests for this one. It is safe for concurrent use.
type carriers struct {
	opts   Options
	lastID atomic.Uint64 // of an exchange
	turn   atomic.Uint64 // spreads requests over equally good carriers

	mu     sync.Mutex // guards the fields below
	usable map[string]peer.Identity
	round  chan struct{} // closed when the round in progress ends; nil: none
	asked  time.Time     // begin of the last round
}

// newCarriers returns carriers of which none is known.
func newCarriers(opts Options) *carriers {
	return &carriers{opts: opts, usable: map[string]peer.Identity{}}
}

// run asks for carriers again and again while the host is cut off.
func (c *carriers) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.opts.Clock.After(checkInterval):
		}
		if c.opts.Reach.CutOff() {
			c.ask()
		}
	}
}

// any reports whether a carrier is known.
func (c *carriers) any() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.usable) > 0
}

// drop forgets a carrier until the next round.
func (c *carriers) drop(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.usable, host)
}

// choose returns up to n carriers for a request to a server, the best one first. The best one adds
// the least latency; equally good ones take turns. withinRegions leaves out hosts in other
// regions than this host's and the server's.
func (c *carriers) choose(ctx context.Context, server Place, withinRegions bool, n int) []string {
	c.awaitFirst(ctx)
	self := c.opts.Link.Self()
	var list []peer.Identity
	c.mu.Lock()
	for _, id := range c.usable {
		if !withinRegions || id.Region == self.Region || id.Region == server.Region {
			list = append(list, id)
		}
	}
	c.mu.Unlock()
	slices.SortFunc(list, func(a, b peer.Identity) int { return cmp.Compare(a.Host, b.Host) })
	rotate(list, c.turn.Add(1))
	latency := func(id peer.Identity) time.Duration {
		return c.opts.Latency(self.Domain, id.Domain) + c.opts.Latency(id.Domain, server.Domain)
	}
	slices.SortStableFunc(list, func(a, b peer.Identity) int { return cmp.Compare(latency(a), latency(b)) })
	return names(list[:min(n, len(list))])
}

// nearest returns up to n hosts that may be asked about a server, the nearest first.
func (c *carriers) nearest(n int) []string {
	list := c.candidates(n)
	return names(list[:min(n, len(list))])
}

// names returns the names of hosts.
func names(list []peer.Identity) []string {
	out := make([]string, len(list))
	for i, id := range list {
		out[i] = id.Host
	}
	return out
}

// rotate moves the first elements of a list to its end.
func rotate[T any](list []T, by uint64) {
	if len(list) == 0 {
		return
	}
	k := int(by % uint64(len(list)))
	copy(list, append(slices.Clone(list[k:]), list[:k]...))
}

// candidates returns the other hosts, the nearest first and at most perDomain of each failure
// domain. Hosts of a domain take turns.
func (c *carriers) candidates(perDomain int) []peer.Identity {
	self := c.opts.Link.Self()
	list := slices.Clone(c.opts.Link.Peers())
	rotate(list, c.turn.Add(1))
	latency := func(id peer.Identity) time.Duration { return c.opts.Latency(self.Domain, id.Domain) }
	slices.SortStableFunc(list, func(a, b peer.Identity) int { return cmp.Compare(latency(a), latency(b)) })
	taken := map[string]int{}
	return slices.DeleteFunc(list, func(id peer.Identity) bool {
		taken[id.Domain]++
		return taken[id.Domain] > perDomain
	})
}

// awaitFirst waits for a round of questions if no carrier is known.
func (c *carriers) awaitFirst(ctx context.Context) {
	if c.any() {
		return
	}
	select {
	case <-c.ask():
	case <-ctx.Done():
	}
}

// ask asks possible carriers, unless that is in progress or was done a moment ago. The result is
// closed once one has agreed or all have answered or not.
func (c *carriers) ask() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	if c.round != nil && now.Sub(c.asked) < checkInterval/2 {
		return c.round
	}
	c.asked, c.round = now, make(chan struct{})
	go c.askAll(c.round)
	return c.round
}

// askAll asks possible carriers at the same time and closes done as ask tells.
func (c *carriers) askAll(done chan struct{}) {
	hosts := c.toAsk()
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var first sync.Once
	agreed := func() { first.Do(func() { close(done) }) }
	var asked sync.WaitGroup
	answers := make([]bool, len(hosts))
	for i, id := range hosts {
		asked.Go(func() {
			var r checkResponse
			err := c.opts.Link.Call(ctx, id.Host, methodCheck, nil, &r)
			if answers[i] = err == nil && r.Usable; answers[i] {
				c.add(id)
				agreed()
			}
		})
	}
	asked.Wait()
	c.keepOnly(hosts, answers)
	agreed()
}

// toAsk returns the hosts to ask in a round: possible carriers, which take turns, and some of those
// that have agreed. One of these may be the only host that reaches servers.
func (c *carriers) toAsk() []peer.Identity {
	hosts := c.candidates(askedPerDomain)
	hosts = hosts[:min(askedAtMost, len(hosts))]
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := 0
	for _, id := range c.usable {
		listed := slices.ContainsFunc(hosts, func(other peer.Identity) bool { return other.Host == id.Host })
		if !listed && kept < keptCarriers {
			hosts = append(hosts, id)
			kept++
		}
	}
	return hosts
}

// add adds a carrier.
func (c *carriers) add(id peer.Identity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usable[id.Host] = id
}

// keepOnly replaces the carriers by those that have agreed.
func (c *carriers) keepOnly(hosts []peer.Identity, agreed []bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usable = map[string]peer.Identity{}
	for i, id := range hosts {
		if agreed[i] {
			c.usable[id.Host] = id
		}
	}
}
