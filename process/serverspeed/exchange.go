package serverspeed

import (
	"context"
	"fmt"
	"iter"
	"slices"
	"sync"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
	"bilberrydale/process/rendezvous"
)

// Server identifies the process of a server for other hosts.
type Server struct {
	ID            string
	StartedUnixMS int64
}

// hash returns the hash by which findings name the process.
func (s Server) hash() uint64 {
	return rendezvous.Combine(rendezvous.Hash(s.ID), uint64(s.StartedUnixMS))
}

// Options configure an Exchange. All fields are required, unless stated otherwise.
type Options struct {
	// Hosts returns the name of this host and those of all known hosts, including this one.
	Hosts func() (self string, all []string)
	// Servers returns the states of the listed servers.
	Servers func() iter.Seq2[Server, *State]
	Link    peer.Link
	Clock   clock.Clock
	// OnSent is called with the number of findings after each message that a host has taken, and
	// with 0 after one that failed; nil: nobody is told. It is called concurrently.
	OnSent func(findings int)
}

// Exchange tells other hosts what this host has measured at servers that may be slow, and passes on what
// it hears: one host of many sees too few responses of a server. It sends nothing while no server looks
// slow. It is safe for concurrent use.
type Exchange struct {
	opts Options
	self uint32 // hash of this host's name

	mu      sync.Mutex        // guards the following
	states  map[uint64]*State // by hash of the server's process
	pending []heldFinding     // to be passed on
	toldAt  time.Time         // last call of Tell; zero: never
}

// heldFinding is a finding that arrived at a time.
type heldFinding struct {
	Finding
	at time.Time
}

const (
	// Interval is the time between two calls of Tell.
	Interval = 250 * time.Millisecond
	// maxFindings is the number of findings in a message, the newest ones.
	maxFindings = 3
	// maxPending is the number of findings that are held to be passed on.
	maxPending = 16
	// fanout is the number of hosts to which a message is sent.
	fanout = 3
	// tellTimeout is the time for the response to a message.
	tellTimeout = 300 * time.Millisecond
)

// maxGap is the time between two calls of Tell, or of a State's Update, after which this host has been suspended, or had no processor
// time: it was not the servers that were slow.
const maxGap = 4 * Interval

// methodFindings tells some findings, as a list. The response is empty.
const methodFindings peer.Method = "serverspeed.findings"

// NewExchange returns an exchange and registers its handler at the link. Tell has to be called every
// Interval.
func NewExchange(opts Options) *Exchange {
	self, _ := opts.Hosts()
	x := &Exchange{opts: opts, self: originHash(self), states: map[uint64]*State{}}
	opts.Link.Handle(methodFindings, x.onFindings)
	return x
}

// originHash returns the hash by which findings name a host.
func originHash(host string) uint32 { return uint32(rendezvous.Hash(host)) }

// Tell sends what is new to the hosts that this host tells, and returns when all have responded or failed.
// A host that cannot be reached, or is of a build without findings, goes without them.
func (x *Exchange) Tell(ctx context.Context) {
	findings := x.collect(x.opts.Clock.Now())
	if len(findings) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	self, all := x.opts.Hosts()
	var wg sync.WaitGroup
	for _, host := range successors(self, all) {
		wg.Go(func() {
			told := len(findings)
			if err := x.opts.Link.Call(ctx, host, methodFindings, findings, nil); err != nil {
				told = 0 // counted by OnSent; others of the ring pass the findings on
			}
			if x.opts.OnSent != nil {
				x.opts.OnSent(told)
			}
		})
	}
	wg.Wait()
}

// collect returns the newest findings, of this host and of others, as of now.
func (x *Exchange) collect(now time.Time) []Finding {
	x.mu.Lock()
	defer x.mu.Unlock()
	stalled := !x.toldAt.IsZero() && now.Sub(x.toldAt) > maxGap
	x.toldAt = now
	clear(x.states)
	var out []Finding
	for server, state := range x.opts.Servers() {
		key := server.hash()
		x.states[key] = state
		if f, isNew := state.news(now); isNew && !stalled {
			f.Server, f.Origin = key, x.self
			out = append(out, f)
		}
	}
	for _, held := range x.pending {
		if f := held.older(now.Sub(held.at)); time.Duration(f.AgeMS)*time.Millisecond < maxFindingAge {
			out = append(out, f)
		}
	}
	x.pending = nil
	slices.SortStableFunc(out, func(a, b Finding) int { return int(a.AgeMS) - int(b.AgeMS) })
	for _, f := range out[min(len(out), maxFindings):] {
		x.hold(f, now)
	}
	return out[:min(len(out), maxFindings)]
}

// hold keeps a finding to be passed on. The caller holds x.mu.
func (x *Exchange) hold(f Finding, now time.Time) {
	if len(x.pending) < maxPending {
		x.pending = append(x.pending, heldFinding{f, now})
	}
}

// onFindings handles methodFindings. A host that has been suspended leaves out what comes before it calls Tell
// again: it may have waited since, and its age is not known.
func (x *Exchange) onFindings(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var findings []Finding
	if err := peer.Unmarshal(payload, &findings); err != nil {
		return nil, fmt.Errorf("serverspeed: malformed findings: %w", err)
	}
	now := x.opts.Clock.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if now.Sub(x.toldAt) > maxGap {
		return nil, nil
	}
	for _, f := range findings[:min(len(findings), maxFindings)] {
		// A server that this host does not list, or lists with another start, is left out.
		if state := x.states[f.Server]; f.Origin != x.self && state != nil && state.hear(f, now) {
			x.hold(f, now)
		}
	}
	return nil, nil
}

// successors returns the hosts that a host tells: on the ring of all hosts by their hashes, those at
// growing distances, so that findings reach all hosts in few steps.
func successors(self string, all []string) []string {
	ring := slices.Clone(all)
	slices.SortFunc(ring, func(a, b string) int {
		if rendezvous.Hash(a) < rendezvous.Hash(b) {
			return -1
		}
		return 1
	})
	position := slices.Index(ring, self)
	if position < 0 {
		return nil
	}
	step := 1
	for step*step*step < len(ring) {
		step++
	}
	var out []string
	for i, distance := 0, 1; i < fanout && distance < len(ring); i, distance = i+1, distance*max(step, 2) {
		out = append(out, ring[(position+distance)%len(ring)])
	}
	return out
}
