package claim

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// shard is the content of a shard: the open claims, stored in the shard's object,
// and sealed parts, which are immutable objects. An update writes only the open
// claims and the names of the parts, so that its size does not grow with the
// number of retained claims. An open claim overrides a sealed one of the same
// key, and a newer sealed part overrides an older one.
type shard struct {
	open   recordsByID
	sealed []*sealedPart // oldest first
}

// sealedPart is an immutable part of a shard that this process read or wrote.
type sealedPart struct {
	name    string    // see sealedPartKey
	newest  time.Time // claim time of its newest record
	version uint64    // of its object
	records recordsByID
}

// lookup returns the record in effect for id and true if there is one: neither
// released nor older than retention.
func (s *shard) lookup(id ID, now time.Time, retention time.Duration) (Record, bool) {
	r, ok := s.open[id]
	for i := len(s.sealed) - 1; i >= 0 && !ok; i-- {
		r, ok = s.sealed[i].records[id]
	}
	return r, ok && r.Outcome != OutcomeReleased && now.Sub(r.ClaimedAt) < retention
}

// isSealed reports whether a sealed part has a record of id.
func (s *shard) isSealed(id ID) bool {
	for _, p := range s.sealed {
		if _, ok := p.records[id]; ok {
			return true
		}
	}
	return false
}

// apply returns the shard after batch and the result of each operation. changed
// reports whether the shard has to be written. stale reports whether an operation
// lost to another claim, which a newer version of the shard may not have.
func (s *shard) apply(batch []*operation, now time.Time, retention time.Duration) (next *shard, results []opResult, changed, stale bool) {
	next = &shard{open: s.open.withoutExpired(now, retention)}
	for _, p := range s.sealed {
		if now.Sub(p.newest) < retention {
			next.sealed = append(next.sealed, p)
		}
	}
	results = make([]opResult, len(batch))
	for i, op := range batch {
		cur, ok := next.lookup(op.record.ID, now, retention)
		res, modified := next.applyOperation(op, cur, ok)
		results[i] = res
		changed = changed || modified
		stale = stale || res.verdict == verdictTaken
	}
	return next, results, changed, stale
}

// applyOperation applies op to the open claims; cur is the record in effect, if
// ok. changed reports whether the shard has to be written.
func (s *shard) applyOperation(op *operation, cur Record, ok bool) (res opResult, changed bool) {
	r := op.record
	switch {
	case op.action == actionAdd && (!ok || op.supersedes(&cur) || cur.allowsReclaim(&r)):
		r.PartiallyRan = r.PartiallyRan || (ok && (cur.PartiallyRan || cur.Outcome == OutcomePartial))
		s.open[r.ID] = r
		return opResult{record: r}, true
	case op.action == actionAdd && !cur.sameClaim(&r):
		return opResult{verdictTaken, cur}, false
	case op.action == actionAdd:
		return opResult{record: cur}, false
	case op.action == actionRecordOutcome && ok && cur.sameClaim(&r) && cur.Outcome != r.Outcome:
		cur.Outcome = r.Outcome
	case (op.action == actionRemove || op.action == actionReleasePartial) && ok && op.supersedes(&cur) && cur.Outcome != OutcomePartial:
		cur.Outcome = OutcomeReleased
		if op.action == actionReleasePartial || cur.PartiallyRan {
			cur.Outcome = OutcomePartial
		}
	default:
		return opResult{}, false
	}
	s.open[r.ID] = cur
	if cur.Outcome == OutcomeReleased && !s.isSealed(r.ID) {
		delete(s.open, r.ID)
	}
	return opResult{}, true
}

// supersedes reports whether cur is a record of the same owner and key under
// which nothing was dispatched, and which the operation may replace or release.
func (op *operation) supersedes(cur *Record) bool {
	if cur.Owner != op.record.Owner || cur.Seq < op.minSeq {
		return false
	}
	return cur.Seq < op.record.Seq || (op.action != actionAdd && cur.Seq == op.record.Seq)
}

// sealedPartKey returns the store key of a sealed part of the shard with this
// index.
func sealedPartKey(index int, name string) string { return objectKey(index) + "." + name }

// sealOpenClaims moves the open claims of next into a new sealed part if there are
// at least SealThreshold. The part has a name that no other write uses, and takes
// effect when the shard's object refers to it: if that update fails, the claims
// in the part are not in effect.
func (c *committer) sealOpenClaims(ctx context.Context, index int, q *shardQueue, next *shard) *shard {
	if len(next.open) < c.opts.SealThreshold {
		return next
	}
	data, err := next.open.encode(nil)
	if err != nil {
		return next
	}
	p := &sealedPart{name: uuid.NewString()[:sealedPartNameLength], records: next.open}
	for _, r := range next.open {
		if r.ClaimedAt.After(p.newest) {
			p.newest = r.ClaimedAt
		}
	}
	c.counters.Writes.Add(1)
	p.version, err = c.store.Put(ctx, sealedPartKey(index, p.name), data, 0)
	if err != nil {
		return next // keep the claims open; the next update tries again
	}
	q.sealedParts[p.name] = p
	return &shard{open: recordsByID{}, sealed: append(next.sealed[:len(next.sealed):len(next.sealed)], p)}
}

const sealedPartNameLength = 13 // characters of a random UUID, with its first hyphen: 48 random bits

// removeUnreferenced deletes the sealed parts that next, the shard's content just
// written, does not refer to: all their claims have expired, or the update that
// was to refer to them failed and can no longer take effect.
func (c *committer) removeUnreferenced(index int, q *shardQueue, next *shard) {
	referenced := map[string]bool{}
	for _, p := range next.sealed {
		referenced[p.name] = true
	}
	for name, p := range q.sealedParts {
		if !referenced[name] {
			delete(q.sealedParts, name)
			c.deleteSealedPart(index, p)
		}
	}
}

// deleteSealedPart deletes a sealed part from the store in the background.
func (c *committer) deleteSealedPart(index int, p *sealedPart) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.opts.CommitTimeout)
		defer cancel()
		// A part that is not deleted only uses storage.
		_ = c.store.Delete(ctx, sealedPartKey(index, p.name), p.version)
	}()
}

// loadSealedParts returns the sealed parts with these names, in that order, and
// reads those not in q.sealedParts.
func (c *committer) loadSealedParts(ctx context.Context, index int, q *shardQueue, names []storedSealed) ([]*sealedPart, error) {
	var out []*sealedPart
	for _, s := range names {
		p, ok := q.sealedParts[s.Name]
		if !ok {
			c.counters.Reads.Add(1)
			obj, err := c.store.Get(ctx, sealedPartKey(index, s.Name))
			if err != nil {
				return nil, err
			}
			records, _, err := decodeShard(obj.Value)
			if err != nil {
				return nil, err
			}
			p = &sealedPart{name: s.Name, newest: time.UnixMilli(s.Newest), version: obj.Version, records: records}
			q.sealedParts[s.Name] = p
		}
		out = append(out, p)
	}
	return out, nil
}
