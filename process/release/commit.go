package release

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/google/uuid"

	"bilberrydale/process/objectapi"
)

// newObjectTries bounds the tries to write one new object.
const newObjectTries = 8

// namedAuthors is how many authors of a group its release names.
const namedAuthors = 5

// group is what a commit makes of several change sets.
type group struct {
	draft    *draft
	accepted []ChangeSet
	refused  map[string]error // by change set id
}

// merge takes as many of sets as hold together on top of base, in order.
// Validation is of the merged tables: two edits that are each valid alone and
// dangle together are not both taken.
func (p *Publisher) merge(base Release, sets []ChangeSet) group {
	g := group{draft: newDraft(base), refused: map[string]error{}}
	var mergeable []ChangeSet
	for _, s := range sets {
		if err := g.draft.apply(s); err != nil {
			g.refused[s.ID] = err
			continue
		}
		mergeable = append(mergeable, s)
	}
	err := p.valid(g.draft)
	if err == nil || len(mergeable) == 1 {
		if err != nil {
			g.refused[mergeable[0].ID] = err
			return g
		}
		g.accepted = mergeable
		return g
	}
	return p.mergeEach(base, mergeable, g.refused)
}

// mergeEach validates after every set. Sets that were refused get a second
// chance on top of the others, which may hold the row they refer to.
func (p *Publisher) mergeEach(base Release, sets []ChangeSet, refused map[string]error) group {
	g := group{draft: newDraft(base), refused: refused}
	for range 2 {
		var left []ChangeSet
		for _, s := range sets {
			next := g.draft.clone()
			err := next.apply(s)
			if err == nil {
				err = p.valid(next)
			}
			if err != nil {
				g.refused[s.ID] = err
				left = append(left, s)
				continue
			}
			delete(g.refused, s.ID)
			g.draft, g.accepted = next, append(g.accepted, s)
		}
		sets = left
	}
	return g
}

func (p *Publisher) valid(d *draft) error {
	if err := p.Validate(d.sorted()); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

// commit accepts g on top of b with one conditional update of the head. The
// rows and the record are written before under keys that nobody else uses: a
// writer that dies in between leaves objects that no head names, which collect
// removes with their number. A group that changes nothing is b itself.
func (p *Publisher) commit(ctx context.Context, b base, g group) (Release, error) {
	if b.unchanged(g) {
		return b.rel, nil
	}
	rows := g.draft.sorted()
	rel := Release{
		Number: g.draft.number, ID: uuid.NewString(), Hash: HashRows(rows), PreviousHash: b.rel.Hash,
		Author: authors(g.accepted), Note: notes(g.accepted), Time: p.Clock.Now(),
		Rows: rows, RecentDeletions: g.draft.newestRemoved(),
	}
	head := Head{Release: rel, Recent: recent(b.head), FirstUncollected: max(b.head.FirstUncollected, 1)}
	head.Rows = nil
	if d := diffRows(b.rel.Rows, rows); d.size() <= maxHeadDelta {
		head.Delta = &d
	}
	for _, s := range g.accepted {
		head.ChangeSetIDs = append(head.ChangeSetIDs, s.ID)
	}
	return rel, p.write(ctx, b, rel, head)
}

func (p *Publisher) write(ctx context.Context, b base, rel Release, head Head) error {
	for i, part := range split(rel.Rows) {
		key := objectKey(rel.Ref(), fmt.Sprintf("%03d", i))
		if err := p.putNew(ctx, key, part); err != nil {
			return err
		}
		head.PartKeys = append(head.PartKeys, key)
	}
	head.FirstUncollected = p.collect(ctx, head.FirstUncollected, rel.Number)
	if err := p.putNew(ctx, recordKey(rel.Ref()), head); err != nil {
		return err
	}
	data, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	_, err = p.store().Put(ctx, HeadKey, data, b.obj.Version)
	if errors.Is(err, objectapi.ErrUnknownOutcome) {
		return p.resolve(ctx, rel.Ref(), err)
	}
	return err
}

// putNew writes one immutable object; a lost answer is harmless because the
// key is unique to this writer, so a conflict means that the write happened.
func (p *Publisher) putNew(ctx context.Context, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	for try := range newObjectTries {
		if err = p.pause(ctx, try); err != nil {
			break
		}
		_, err = p.store().Put(ctx, key, data, 0)
		if err == nil || errors.Is(err, objectapi.ErrConflict) {
			return nil
		}
		if errors.Is(err, objectapi.ErrTooLarge) {
			return err
		}
	}
	// Not ErrUnknownOutcome: the head was not touched, a retry is safe.
	return fmt.Errorf("%w: %s: %v", objectapi.ErrUnavailable, key, err)
}

func recent(h Head) []Ref {
	if h.Number == 0 {
		return nil
	}
	refs := append([]Ref{h.Ref()}, h.Recent...)
	return refs[:min(len(refs), recentRefs)]
}

func authors(sets []ChangeSet) string {
	var names []string
	seen := map[string]bool{}
	for _, s := range sets {
		if !seen[s.Author] {
			seen[s.Author] = true
			names = append(names, s.Author)
		}
	}
	if more := len(names) - namedAuthors; more > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:namedAuthors], ", "), more)
	}
	return strings.Join(names, ", ")
}

func notes(sets []ChangeSet) string {
	if len(sets) == 1 {
		return sets[0].Note
	}
	return fmt.Sprintf("%d change sets", len(sets))
}

// Load reads the rows that head refers to and checks them against its hash.
func Load(ctx context.Context, store objectapi.Store, obj objectapi.Object) (Release, error) {
	head, err := decodeHead(obj)
	if err != nil {
		return Release{}, err
	}
	return loadParts(ctx, store, head)
}

func loadParts(ctx context.Context, store objectapi.Store, head Head) (Release, error) {
	rel := head.Release
	if rel.Number == 0 {
		return rel, nil
	}
	for _, key := range head.PartKeys {
		part, err := store.Get(ctx, key)
		if err != nil {
			return Release{}, fmt.Errorf("read %s: %w", key, err)
		}
		var rows []Row
		if err := json.Unmarshal(part.Value, &rows); err != nil {
			return Release{}, fmt.Errorf("decode %s: %w", key, err)
		}
		rel.Rows = append(rel.Rows, rows...)
	}
	return rel, rel.Verify()
}

// split cuts rows into parts that each fit into one object.
func split(rows []Row) [][]Row {
	var parts [][]Row
	var part []Row
	size := 0
	for _, r := range rows {
		n := len(r.Key) + len(r.Data) + 128
		if size+n > maxPart && len(part) > 0 {
			parts = append(parts, part)
			part, size = nil, 0
		}
		part = append(part, r)
		size += n
	}
	if len(part) > 0 {
		parts = append(parts, part)
	}
	return parts
}

// sweepStep bounds how many numbers one commit collects.
const sweepStep = 4

// collect removes the objects of releases that are no longer kept, those of
// writers that died or lost the race for these numbers included, and returns
// the lowest number that may still have objects. Failures are left to the next
// commit. An object written for a number after that number was collected stays;
// that needs a writer which stalls for as long as `kept` releases.
func (p *Publisher) collect(ctx context.Context, from, newest uint64) uint64 {
	for range sweepStep {
		if from+kept >= newest {
			break
		}
		objs, err := p.store().List(ctx, numberPrefix(from))
		if err != nil {
			break
		}
		for _, o := range objs {
			if err := p.store().Delete(ctx, o.Key, o.Version); err != nil && !errors.Is(err, objectapi.ErrNotFound) {
				return from
			}
		}
		from++
	}
	return from
}
