package quarantine

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"bilberrydale/process/peer"
)

// Methods between entry hosts.
const (
	methodTell peer.Method = "quarantine.tell" // rows that changed
	methodList peer.Method = "quarantine.list" // all rows in effect
)

// maxTold bounds the rows of one message.
const maxTold = 256

// parallelTells bounds the peers told at once.
const parallelTells = 32

func (s *SharedGuard) handle() {
	s.link.Handle(methodTell, s.onTell)
	s.link.Handle(methodList, func(context.Context, peer.Identity, []byte) ([]byte, error) {
		return msgpack.Marshal(s.inEffect())
	})
}

// share tells every peer, as far as they can be reached in ShareTime.
func (s *SharedGuard) share(r row) {
	if s.link == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.ShareTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(parallelTells)
	for _, p := range s.link.Peers() {
		g.Go(func() error {
			// A peer that cannot be reached learns it from Run later.
			_ = s.link.Call(ctx, p.Host, methodTell, []row{r}, nil)
			return nil
		})
	}
	_ = g.Wait()
}

func (s *SharedGuard) onTell(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var rows []row
	if err := msgpack.Unmarshal(payload, &rows); err != nil {
		return nil, fmt.Errorf("quarantine: malformed rows: %w", err)
	}
	s.learn(rows)
	return msgpack.Marshal(true)
}

// learn merges a peer's rows.
func (s *SharedGuard) learn(rows []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows[:min(len(rows), maxTold)] {
		for _, d := range r.Deaths {
			if !s.seen(s.recent, d) {
				s.remember(d)
			}
		}
		s.merge(r)
	}
}

func (s *SharedGuard) inEffect() []row {
	now := s.clock.Now()
	var out []row
	for _, r := range *s.verdicts.Load() {
		if s.expires(&r).After(now) && len(out) < maxTold {
			out = append(out, r)
		}
	}
	return out
}

// Run compares notes with one random peer at a time until ctx ends, so that a
// host that was cut off or has just started learns what it missed.
func (s *SharedGuard) Run(ctx context.Context) error {
	wait := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.clock.After(wait):
		}
		wait = s.opts.SyncInterval
		s.sync(ctx)
	}
}

func (s *SharedGuard) sync(ctx context.Context) {
	if s.link == nil {
		return
	}
	peers := s.link.Peers()
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.ShareTimeout)
	defer cancel()
	var rows []row
	if s.link.Call(ctx, peers[s.rand.IntN(len(peers))].Host, methodList, nil, &rows) == nil {
		s.learn(rows)
	}
}

func sortEntries(list []Entry) {
	sort.Slice(list, func(i, j int) bool { return list[i].Fingerprint < list[j].Fingerprint })
}
