package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

const methodCommit peer.Method = "claim.commit" // write the sender's operations to a shard

// shardWriters assigns each shard to the host that writes it. Hosts that write
// the same object interfere: each conditional update makes those of the others
// fail, and each host has only a few claims to batch. So rendezvous hashing
// selects one host per shard that writes for all. Hosts may disagree about the
// selection: claims are exclusive by the conditional update alone.
type shardWriters struct {
	link  peer.Link
	clock clock.Clock
	opts  Options

	mu           sync.Mutex           // guards backoffUntil
	backoffUntil map[string]time.Time // end of the backoff by host that failed to write
}

// newShardWriters returns shardWriters without a host in backoff.
func newShardWriters(link peer.Link, clk clock.Clock, opts Options) *shardWriters {
	return &shardWriters{link: link, clock: clk, opts: opts, backoffUntil: map[string]time.Time{}}
}

// writerOf returns the host that writes the shard with this index, or "" if it is
// this host. A nil receiver means that this host writes all shards.
func (s *shardWriters) writerOf(index int) string {
	if s == nil {
		return ""
	}
	self := s.link.Self().Host
	best, maxWeight := "", rendezvousWeight(self, index)
	for _, p := range s.link.Peers() {
		if w := rendezvousWeight(p.Host, index); w > maxWeight && p.Host != self && !s.inBackoff(p.Host) {
			best, maxWeight = p.Host, w
		}
	}
	return best
}

// rendezvousWeight returns the weight of host for a shard; the host with the
// highest weight writes the shard.
func rendezvousWeight(host string, index int) uint64 {
	return xxhash.Sum64String(fmt.Sprint(host, "/", index))
}

// inBackoff reports whether host failed to write within the last WriterBackoff.
func (s *shardWriters) inBackoff(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now().Before(s.backoffUntil[host])
}

// startBackoff excludes host from writing for this one for WriterBackoff.
func (s *shardWriters) startBackoff(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoffUntil[host] = s.clock.Now().Add(s.opts.WriterBackoff)
}

// commitOperation is one operation of a claim.commit request. It is encoded as an
// array: the order of the fields is the format.
type commitOperation struct {
	Action action
	Record Record
	MinSeq uint64 // see operation.minSeq
}

// commitResult is one result of a claim.commit response. It is encoded with its
// field names.
type commitResult struct {
	Verdict verdict
	Record  Record `msgpack:"Other"` // the claim in effect
}

// forward sends the batch to writer and reports whether all results arrived. If
// not, this host writes the batch itself: an operation that was already written
// is recognized by its owner and Seq, and applying it twice has no effect.
func (s *shardWriters) forward(writer string, batch []*operation) bool {
	in := make([]commitOperation, len(batch))
	for i, op := range batch {
		in[i] = commitOperation{op.action, op.record, op.minSeq}
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.CallTimeout)
	defer cancel()
	var out []commitResult
	err := s.link.Call(ctx, writer, methodCommit, in, &out)
	if err != nil || len(out) != len(batch) {
		s.startBackoff(writer)
		for _, op := range batch {
			op.mayBeWritten = op.mayBeWritten || !errors.Is(err, peer.ErrUnreachable)
		}
		return false
	}
	for i, op := range batch {
		op.result <- opResult{out[i].Verdict, out[i].Record}
	}
	return true
}

// errNotOwner is the response to a claim.commit with a claim of another host.
var errNotOwner = errors.New("claim: operation on a claim that the sender does not own")

// onCommit handles claim.commit: it writes operations on behalf of another host
// and responds when all have a result. After an error some may have been written.
func (c *committer) onCommit(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var in []commitOperation
	if err := msgpack.Unmarshal(payload, &in); err != nil {
		return nil, fmt.Errorf("claim: malformed commit request: %w", err)
	}
	ops := make([]*operation, len(in))
	for i, o := range in {
		if o.Record.Owner.Host != from.Host {
			return nil, errNotOwner
		}
		ops[i] = &operation{action: o.Action, record: o.Record, minSeq: o.MinSeq, forPeer: true, result: make(chan opResult, 1)}
		c.enqueue(c.shardIndex(o.Record.ID), ops[i])
	}
	out := make([]commitResult, len(ops))
	for i, op := range ops {
		select {
		case res := <-op.result:
			out[i] = commitResult{res.verdict, res.record}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return msgpack.Marshal(out)
}
