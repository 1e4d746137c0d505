package release

import (
	"context"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"bilberrydale/process/member"
	"bilberrydale/process/peer"
)

const (
	// fanout is how many hosts each host notifies. A release reaches a domain
	// of n hosts in log_fanout(n) steps, and no host sends more than this.
	fanout = 4
	// pullTries is how many hosts are asked for a release that was noticed.
	pullTries = 6
	// rootsKept bounds what is remembered of the roots of notices.
	rootsKept = 64
)

// prepared starts a notice in this host's domain for a release that came from
// the platform or from another domain. One from this domain has its root there.
func (s *Distributor) prepared(h *PreparedRelease) {
	s.mu.Lock()
	near := s.pullingNear[h.Number]
	s.mu.Unlock()
	if near {
		return
	}
	n := notice{Number: h.Number, Hash: h.Hash, Root: s.opts.Link.Self().Host}
	s.background(func(ctx context.Context) { s.forward(ctx, n) })
}

// onNotice fetches the release if it is new here and passes the notice on. The
// notice is passed on also when the release is known: the tree of another root
// may have lost a host half-way.
func (s *Distributor) onNotice(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var n notice
	if err := msgpack.Unmarshal(payload, &n); err != nil {
		return nil, fmt.Errorf("decode notice: %w", err)
	}
	s.background(func(ctx context.Context) { s.take(ctx, from, n) })
	number, hash := s.f.Summary()
	return msgpack.Marshal(&summary{Number: number, Hash: hash, Platform: s.platformAge()})
}

func (s *Distributor) take(ctx context.Context, from peer.Identity, n notice) {
	if s.f.Needs(n.Number, n.Hash, from.Host) && s.pullFromAny(ctx, from, n) != nil {
		return // comparing with peers mends it
	}
	s.forward(ctx, n)
}

// pullFromAny tries the sender, the root and then random hosts of the domain. A
// host that gave up at the first lost connection would leave all hosts behind it
// in the tree to find out by comparing, which takes seconds.
func (s *Distributor) pullFromAny(ctx context.Context, from peer.Identity, n notice) error {
	root := from
	root.Host = n.Root
	sources := []peer.Identity{from, root}
	var err error
	failures := 0
	for range pullTries {
		if failures > 0 {
			s.f.backoff(ctx, &failures)
		}
		if len(sources) == 0 {
			sources = s.near(member.Suspect)
			s.shuffle(sources)
		}
		if len(sources) == 0 {
			return err
		}
		err = s.pull(ctx, sources[0], n.Number)
		if err == nil || !s.f.Needs(n.Number, n.Hash, from.Host) {
			return err
		}
		sources, failures = sources[1:], failures+1
	}
	return err
}

func (s *Distributor) shuffle(peers []peer.Identity) {
	for i := len(peers) - 1; i > 0; i-- {
		j := s.f.opts.Rand.IntN(i + 1)
		peers[i], peers[j] = peers[j], peers[i]
	}
}

// forward notifies this host's children in the tree of the notice's root, once.
func (s *Distributor) forward(ctx context.Context, n notice) {
	s.mu.Lock()
	seen := s.sent[n.Root] >= n.Number
	if !seen {
		if len(s.sent) >= rootsKept {
			clear(s.sent)
		}
		s.sent[n.Root] = n.Number
	}
	s.mu.Unlock()
	if seen {
		return
	}
	hosts := s.tree(n.Root)
	for i, host := range hosts {
		if host == s.opts.Link.Self().Host {
			s.notify(ctx, hosts, i, n)
			return
		}
	}
}

// notify tells the children of the host at position i. Those of a child that
// does not answer are told directly: a host that died must not cut off the
// hosts behind it.
func (s *Distributor) notify(ctx context.Context, hosts []string, i int, n notice) {
	var g errgroup.Group
	for child := fanout*i + 1; child <= fanout*i+fanout && child < len(hosts); child++ {
		g.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			var a summary
			if err := s.opts.Link.Call(callCtx, hosts[child], methodNotice, n, &a); err != nil {
				s.notify(ctx, hosts, child, n)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// tree lays out the hosts of this domain: root first, the others by rank, so
// that all hosts with the same view agree on it. Suspected hosts are in it: most
// are merely slow, and one that is dead is passed over.
func (s *Distributor) tree(root string) []string {
	hosts := []string{root}
	for _, h := range s.ranked(member.Suspect) {
		if h != root {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
