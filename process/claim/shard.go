package claim

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// shardCopy is the content of a shard: the open claims, which the shard's
// object holds, over sealed parts, which are objects that never change. Only
// the open claims and the parts' names are written with each update, so that
// its size does not grow with all that has to be remembered. A claim in the
// open part hides one of the same key below it, and a younger part an older.
type shardCopy struct {
	open   image
	sealed []*sealedPart // oldest first
}

// sealedPart is a part that was read or written by this process.
type sealedPart struct {
	name    string
	newest  time.Time // of its records
	version uint64
	records image
}

// find returns the record that stands for id.
func (s *shardCopy) find(id ID, now time.Time, window time.Duration) (Record, bool) {
	r, ok := s.open[id]
	for i := len(s.sealed) - 1; i >= 0 && !ok; i-- {
		r, ok = s.sealed[i].records[id]
	}
	return r, ok && r.Outcome != OutcomeReleased && now.Sub(r.At) < window
}

func (s *shardCopy) isSealed(id ID) bool {
	for _, p := range s.sealed {
		if _, ok := p.records[id]; ok {
			return true
		}
	}
	return false
}

// apply returns the shard after batch with the result of each operation.
// stale is true if a result rests on a record that this host did not write.
func (s *shardCopy) apply(batch []*operation, now time.Time, window time.Duration) (next *shardCopy, results []opResult, changed, stale bool) {
	next = &shardCopy{open: s.open.expire(now, window)}
	for _, p := range s.sealed {
		if now.Sub(p.newest) < window {
			next.sealed = append(next.sealed, p)
		}
	}
	results = make([]opResult, len(batch))
	for i, op := range batch {
		cur, ok := next.find(op.record.ID, now, window)
		res, did := next.do(op, cur, ok)
		results[i] = res
		changed = changed || did
		stale = stale || res.verdict == taken
	}
	return next, results, changed, stale
}

// do carries out one operation; cur is the record that stands, if ok.
func (s *shardCopy) do(op *operation, cur Record, ok bool) (res opResult, changed bool) {
	r := op.record
	switch {
	case op.action == add && (!ok || op.replaces(&cur) || cur.reopened(&r)):
		r.PartiallyRan = r.PartiallyRan || (ok && (cur.PartiallyRan || cur.Outcome == OutcomePartial))
		s.open[r.ID] = r
		return opResult{other: r}, true
	case op.action == add && !cur.same(&r):
		return opResult{taken, cur}, false
	case op.action == add:
		return opResult{other: cur}, false
	case op.action == mark && ok && cur.same(&r) && cur.Outcome != r.Outcome:
		cur.Outcome = r.Outcome
	case (op.action == remove || op.action == part) && ok && op.replaces(&cur) && cur.Outcome != OutcomePartial:
		cur.Outcome = OutcomeReleased
		if op.action == part || cur.PartiallyRan {
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

// replaces reports whether cur is an earlier record of the same owner and key
// under which nothing was dispatched.
func (op *operation) replaces(cur *Record) bool {
	if cur.Owner != op.record.Owner || cur.Seq < op.first {
		return false
	}
	return cur.Seq < op.record.Seq || (op.action != add && cur.Seq == op.record.Seq)
}

func partKey(index int, name string) string { return objectKey(index) + "." + name }

// seal moves the open claims of next into a new part if they are many. The part
// has a name that no other write uses, and counts only once the shard's object
// names it: a part whose update failed holds claims that do not stand.
func (c *committer) seal(ctx context.Context, index int, q *shardQueue, next *shardCopy) *shardCopy {
	if len(next.open) < c.opts.SealThreshold {
		return next
	}
	data, err := next.open.encode(nil)
	if err != nil {
		return next
	}
	p := &sealedPart{name: uuid.NewString()[:partName], records: next.open}
	for _, r := range next.open {
		if r.At.After(p.newest) {
			p.newest = r.At
		}
	}
	c.counters.Writes.Add(1)
	p.version, err = c.store.Put(ctx, partKey(index, p.name), data, 0)
	if err != nil {
		return next // written whole for now; the next update tries again
	}
	q.loaded[p.name] = p
	return &shardCopy{open: image{}, sealed: append(next.sealed[:len(next.sealed):len(next.sealed)], p)}
}

const partName = 13 // characters of a random name: 48 bits

// drop removes the parts that next, which has just become the shard's object,
// does not name: all in them has expired, or the update that was to name them
// failed and cannot take effect any more.
func (c *committer) drop(index int, q *shardQueue, next *shardCopy) {
	kept := map[string]bool{}
	for _, p := range next.sealed {
		kept[p.name] = true
	}
	for name, p := range q.loaded {
		if !kept[name] {
			delete(q.loaded, name)
			c.remove(index, p)
		}
	}
}

func (c *committer) remove(index int, p *sealedPart) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.opts.CommitTimeout)
		defer cancel()
		// A part that stays costs room, nothing else.
		_ = c.store.Delete(ctx, partKey(index, p.name), p.version)
	}()
}

// parts returns the sealed parts, reading those that are not known yet.
func (c *committer) parts(ctx context.Context, index int, q *shardQueue, names []storedSealed) ([]*sealedPart, error) {
	var out []*sealedPart
	for _, s := range names {
		p, ok := q.loaded[s.Name]
		if !ok {
			c.counters.Reads.Add(1)
			obj, err := c.store.Get(ctx, partKey(index, s.Name))
			if err != nil {
				return nil, err
			}
			records, _, err := decodeImage(obj.Value)
			if err != nil {
				return nil, err
			}
			p = &sealedPart{name: s.Name, newest: time.UnixMilli(s.Newest), version: obj.Version, records: records}
			q.loaded[s.Name] = p
		}
		out = append(out, p)
	}
	return out, nil
}
