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

const methodCommit peer.Method = "claim.commit" // write these operations for me

// homes says which host writes which shard. Hosts that write the same object
// disturb each other: each conditional update makes the others' fail, and none
// of them has many claims to put into one. So each shard has a home by
// rendezvous hashing that writes for all. Hosts may disagree about it: what
// makes a claim exclusive is the conditional update alone.
type homes struct {
	link  peer.Link
	clock clock.Clock
	opts  Options

	mu     sync.Mutex
	avoids map[string]time.Time // hosts that did not answer, until when
}

func newHomes(link peer.Link, clk clock.Clock, opts Options) *homes {
	return &homes{link: link, clock: clk, opts: opts, avoids: map[string]time.Time{}}
}

// of returns the home of a shard; empty: this host.
func (h *homes) of(index int) string {
	if h == nil {
		return ""
	}
	self := h.link.Self().Host
	best, most := "", weight(self, index)
	for _, p := range h.link.Peers() {
		if w := weight(p.Host, index); w > most && p.Host != self && !h.avoided(p.Host) {
			best, most = p.Host, w
		}
	}
	return best
}

func weight(host string, index int) uint64 { return xxhash.Sum64String(fmt.Sprint(host, "/", index)) }

func (h *homes) avoided(host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.Now().Before(h.avoids[host])
}

func (h *homes) avoid(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoids[host] = h.clock.Now().Add(h.opts.WriterBackoff)
}

// sentOperation and sentResult travel between hosts.
type sentOperation struct {
	Action action
	Record Record
	First  uint64
}

type sentResult struct {
	Verdict verdict
	Other   Record
}

// forward lets home write the batch. If that fails in any way this host writes
// the batch itself: an operation that was already written is found by its
// owner and number, and done a second time has no effect.
func (h *homes) forward(home string, batch []*operation) bool {
	in := make([]sentOperation, len(batch))
	for i, op := range batch {
		in[i] = sentOperation{op.action, op.record, op.first}
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.opts.CallTimeout)
	defer cancel()
	var out []sentResult
	err := h.link.Call(ctx, home, methodCommit, in, &out)
	if err != nil || len(out) != len(batch) {
		h.avoid(home)
		for _, op := range batch {
			op.sent = op.sent || !errors.Is(err, peer.ErrUnreachable)
		}
		return false
	}
	for i, op := range batch {
		op.result <- opResult{out[i].Verdict, out[i].Other}
	}
	return true
}

var errNotOwner = errors.New("claim: operation of another host's claim")

// onCommit writes operations for another host.
func (c *committer) onCommit(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var in []sentOperation
	if err := msgpack.Unmarshal(payload, &in); err != nil {
		return nil, fmt.Errorf("claim: malformed operations: %w", err)
	}
	ops := make([]*operation, len(in))
	for i, o := range in {
		if o.Record.Owner.Host != from.Host {
			return nil, errNotOwner
		}
		ops[i] = &operation{action: o.Action, record: o.Record, first: o.First, here: true, result: make(chan opResult, 1)}
		c.submit(c.index(o.Record.ID), ops[i])
	}
	out := make([]sentResult, len(ops))
	for i, op := range ops {
		select {
		case res := <-op.result:
			out[i] = sentResult{res.verdict, res.other}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return msgpack.Marshal(out)
}
