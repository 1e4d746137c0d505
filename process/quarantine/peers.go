package quarantine

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"bilberrydale/process/peer"
	"bilberrydale/process/rendezvous"
)

// Methods of calls between entry hosts, and what they transfer.
const (
	methodShare peer.Method = "quarantine.share" // sends records that changed, with their field names
	methodPush  peer.Method = "quarantine.tell"  // sends pushed records; builds without methodShare
	methodList  peer.Method = "quarantine.list"  // returns all records in effect
)

// maxRecordsPerMessage bounds the records of one message.
const maxRecordsPerMessage = 256

// maxParallelPushes bounds the concurrent pushes of one record.
const maxParallelPushes = 32

// registerHandlers registers the handlers of the methods between hosts.
func (s *SharedGuard) registerHandlers() {
	s.link.Handle(methodShare, s.onPush)
	s.link.Handle(methodPush, s.onPush)
	s.link.Handle(methodList, func(context.Context, peer.Identity, []byte) ([]byte, error) {
		return msgpack.Marshal(s.activeRecords())
	})
}

// shareCrashes sends records with a new crash to the hosts that count the crashes of their
// subjects. Subjects in quarantine, by this host's count or by theirs, are told to all hosts, and
// to the registry if none of them knows of a completion.
func (s *SharedGuard) shareCrashes(records []record) {
	quarantined := s.quarantined(s.pushToOwners(records))
	if len(quarantined) == 0 {
		return
	}
	told := s.push(s.peers(), quarantined)
	var completed []record
	for _, r := range told {
		if r.QuarantinedAt.IsZero() {
			completed = append(completed, r)
			continue
		}
		s.publish(r)
	}
	if len(completed) > 0 {
		s.push(s.peers(), completed)
	}
}

// quarantined returns the records of subjects in quarantine.
func (s *SharedGuard) quarantined(records []record) []record {
	return slices.DeleteFunc(records, func(r record) bool { return r.QuarantinedAt.IsZero() })
}

// publish writes the quarantine of a record to the registry.
func (s *SharedGuard) publish(r record) {
	if s.registry != nil {
		s.registry.Publish(Quarantine{Fingerprint: r.Fingerprint, Kind: r.Kind, StartedAt: r.QuarantinedAt, Crashes: r.Crashes})
	}
}

// pushToOwners sends each record of a subject that is not yet in quarantine to the hosts that
// count its crashes, one message to each host, and returns all records as merged.
func (s *SharedGuard) pushToOwners(records []record) []record {
	byHost := map[string][]record{}
	var owners []peer.Identity
	for _, r := range records {
		if !r.QuarantinedAt.IsZero() {
			continue
		}
		for _, id := range s.suspectOwners(r.Fingerprint) {
			if byHost[id.Host] == nil {
				owners = append(owners, id)
			}
			byHost[id.Host] = append(byHost[id.Host], r)
		}
	}
	s.send(owners, func(host string) []record { return byHost[host] })
	return s.current(records)
}

// peers returns all peers.
func (s *SharedGuard) peers() []peer.Identity {
	if s.link == nil {
		return nil
	}
	return s.link.Peers()
}

// suspectOwners returns the peers that count the crashes of a request.
func (s *SharedGuard) suspectOwners(fp Fingerprint) []peer.Identity {
	if s.link == nil || s.opts.SuspectOwners <= 0 {
		return s.peers()
	}
	byDomain := map[string][]peer.Identity{}
	for _, id := range append(slices.Clone(s.link.Peers()), s.link.Self()) {
		byDomain[id.Domain] = append(byDomain[id.Domain], id)
	}
	score := func(id peer.Identity) uint64 { return rendezvous.Combine(rendezvous.Hash(id.Host), uint64(fp)) }
	var owners []peer.Identity
	for _, hosts := range byDomain {
		slices.SortFunc(hosts, func(a, b peer.Identity) int { return cmp.Compare(score(b), score(a)) })
		owners = append(owners, hosts[:min(s.opts.SuspectOwners, len(hosts))]...)
	}
	return slices.DeleteFunc(owners, func(id peer.Identity) bool { return id.Host == s.link.Self().Host })
}

// push sends records to some peers, merges what they have on record for the subjects, and
// returns the merged records. It ends when they have responded or ShareTimeout has passed.
func (s *SharedGuard) push(to []peer.Identity, records []record) []record {
	s.send(to, func(string) []record { return records })
	return s.current(records)
}

// current returns the current records of the subjects of some records.
func (s *SharedGuard) current(records []record) []record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]record, len(records))
	for i, r := range records {
		out[i] = s.records[r.Fingerprint]
	}
	return out
}

// send sends each of some peers its records, and merges what the peers have on record for the
// subjects.
func (s *SharedGuard) send(to []peer.Identity, recordsFor func(host string) []record) {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.ShareTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxParallelPushes)
	for _, p := range to {
		g.Go(func() error {
			// A peer that cannot be reached gets the records later, by Run or from the
			// registry.
			if merged, err := s.sendTo(ctx, p.Host, recordsFor(p.Host)); err == nil {
				s.mergeFromPeer(merged)
			}
			return nil
		})
	}
	_ = g.Wait() // no call returns an error
}

// sendTo sends records to a peer, in the format of its build, and returns what it has on record.
func (s *SharedGuard) sendTo(ctx context.Context, host string, records []record) (merged []record, err error) {
	payload, err := msgpack.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("quarantine: encode records: %w", err)
	}
	err = s.link.Call(ctx, host, methodShare, msgpack.RawMessage(payload), &merged)
	if errors.Is(err, peer.ErrFailureResponse) {
		pushed := make([]pushedRecord, len(records))
		for i, r := range records {
			pushed[i] = pushedRecord{r.Fingerprint, r.Crashes, r.ClearedAt, r.QuarantinedAt}
		}
		err = s.link.Call(ctx, host, methodPush, pushed, &merged)
	}
	return merged, err
}

// pushedRecord is a record as builds without methodShare receive it: an array of these fields.
type pushedRecord struct {
	Fingerprint   Fingerprint
	Crashes       []Crash
	ClearedAt     time.Time
	QuarantinedAt time.Time
}

// onPush handles methodShare and methodPush. The response holds the merged records.
func (s *SharedGuard) onPush(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var records []record
	if err := msgpack.Unmarshal(payload, &records); err != nil {
		return nil, fmt.Errorf("quarantine: malformed records: %w", err)
	}
	return msgpack.Marshal(s.mergeFromPeer(records))
}

// mergeFromPeer merges the records of a peer, up to maxRecordsPerMessage, and
// adds their crashes to those of all servers. It returns the merged records.
func (s *SharedGuard) mergeFromPeer(records []record) []record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var merged []record
	for _, r := range records[:min(len(records), maxRecordsPerMessage)] {
		for _, crash := range r.Crashes {
			if !s.containsCrash(s.recentCrashes, crash) {
				s.addRecentCrash(crash)
			}
		}
		merged = append(merged, s.merge(r))
	}
	s.publishSnapshot()
	return merged
}

// activeRecords returns the records in effect, up to maxRecordsPerMessage.
func (s *SharedGuard) activeRecords() []record {
	now := s.clock.Now()
	var out []record
	for _, r := range s.snapshot.Load().records {
		if s.expires(&r).After(now) && len(out) < maxRecordsPerMessage {
			out = append(out, r)
		}
	}
	return out
}

// syncRetryDelay is the pause after a fetch without a response. A host that has just
// started knows no peers yet.
const syncRetryDelay = 500 * time.Millisecond

// Run fetches the records of one random peer at once and then every SyncInterval,
// until ctx ends, so that a host that has just started or was partitioned gets
// the records it missed. A fetch without a response is repeated after syncRetryDelay.
// It returns nil.
func (s *SharedGuard) Run(ctx context.Context) error {
	wait := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.clock.After(wait):
		}
		wait = syncRetryDelay
		if s.pullFromPeer(ctx) {
			wait = s.opts.SyncInterval
		}
	}
}

// pullFromPeer merges the records of a random peer. It returns false if there is no
// response.
func (s *SharedGuard) pullFromPeer(ctx context.Context) bool {
	peers := s.peers()
	if len(peers) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.ShareTimeout)
	defer cancel()
	var records []record
	if s.link.Call(ctx, peers[s.rand.IntN(len(peers))].Host, methodList, nil, &records) != nil {
		return false
	}
	s.mergeFromPeer(records)
	return true
}

// sortEntries sorts entries by fingerprint.
func sortEntries(entries []Entry) {
	sort.Slice(entries, func(i, j int) bool { return entries[i].Fingerprint < entries[j].Fingerprint })
}
