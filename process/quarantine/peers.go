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

// Methods of calls between entry hosts, and what they transfer.
const (
	methodPush peer.Method = "quarantine.tell" // sends records that changed
	methodList peer.Method = "quarantine.list" // returns all records in effect
)

// maxRecordsPerMessage bounds the records of one message.
const maxRecordsPerMessage = 256

// maxParallelPushes bounds the concurrent pushes of one record.
const maxParallelPushes = 32

// registerHandlers registers the handlers of the methods between hosts.
func (s *SharedGuard) registerHandlers() {
	s.link.Handle(methodPush, s.onPush)
	s.link.Handle(methodList, func(context.Context, peer.Identity, []byte) ([]byte, error) {
		return msgpack.Marshal(s.activeRecords())
	})
}

// pushToPeers sends the record to all peers and returns when they have responded or
// ShareTimeout has passed.
func (s *SharedGuard) pushToPeers(r record) {
	if s.link == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.ShareTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxParallelPushes)
	for _, p := range s.link.Peers() {
		g.Go(func() error {
			// A peer that cannot be reached gets the record later by Run.
			_ = s.link.Call(ctx, p.Host, methodPush, []record{r}, nil)
			return nil
		})
	}
	_ = g.Wait()
}

// onPush handles quarantine.tell.
func (s *SharedGuard) onPush(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var records []record
	if err := msgpack.Unmarshal(payload, &records); err != nil {
		return nil, fmt.Errorf("quarantine: malformed records: %w", err)
	}
	s.mergeFromPeer(records)
	return msgpack.Marshal(true)
}

// mergeFromPeer merges the records of a peer, up to maxRecordsPerMessage, and
// adds their crashes to those of all servers.
func (s *SharedGuard) mergeFromPeer(records []record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records[:min(len(records), maxRecordsPerMessage)] {
		for _, crash := range r.Crashes {
			if !s.containsCrash(s.recentCrashes, crash) {
				s.addRecentCrash(crash)
			}
		}
		s.merge(r)
	}
}

// activeRecords returns the records in effect, up to maxRecordsPerMessage.
func (s *SharedGuard) activeRecords() []record {
	now := s.clock.Now()
	var out []record
	for _, r := range *s.snapshot.Load() {
		if s.expires(&r).After(now) && len(out) < maxRecordsPerMessage {
			out = append(out, r)
		}
	}
	return out
}

// Run fetches the records of one random peer at once and then every SyncInterval,
// until ctx ends, so that a host that has just started or was partitioned gets
// the records it missed. It returns nil.
func (s *SharedGuard) Run(ctx context.Context) error {
	wait := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.clock.After(wait):
		}
		wait = s.opts.SyncInterval
		s.pullFromPeer(ctx)
	}
}

// pullFromPeer merges the records of a random peer.
func (s *SharedGuard) pullFromPeer(ctx context.Context) {
	if s.link == nil {
		return
	}
	peers := s.link.Peers()
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.ShareTimeout)
	defer cancel()
	var records []record
	if s.link.Call(ctx, peers[s.rand.IntN(len(peers))].Host, methodList, nil, &records) == nil {
		s.mergeFromPeer(records)
	}
}

// sortEntries sorts entries by fingerprint.
func sortEntries(entries []Entry) {
	sort.Slice(entries, func(i, j int) bool { return entries[i].Fingerprint < entries[j].Fingerprint })
}
