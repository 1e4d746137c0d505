package release

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	standin "bilberrydale/internal/standin/platform"
	"bilberrydale/process/clock"
	"bilberrydale/process/objectapi"
)

// joined is a small validator: a row "routes/x" holds the name of a pool, and
// the row "pools/<name>" must exist.
func validatePoolRefs(rows []Row) error {
	have := map[string]bool{}
	for _, r := range rows {
		have[r.Key] = true
	}
	for _, r := range rows {
		var pool string
		if strings.HasPrefix(r.Key, "routes/") && json.Unmarshal(r.Data, &pool) == nil && !have["pools/"+pool] {
			return fmt.Errorf("%s names pool %q, which does not exist", r.Key, pool)
		}
	}
	return nil
}

func publisher(store objectapi.Store, seed uint64) *Publisher {
	return &Publisher{Store: store, Validate: validatePoolRefs, Clock: clock.System{}, Rand: clock.NewSeeded(seed)}
}

func putRow(author, key, text string, base uint64) ChangeSet {
	data, _ := json.Marshal(text)
	return ChangeSet{Author: author, Changes: []Change{{Key: key, Data: data, BaseVersion: base}}}
}

func deleteRow(author, key string, base uint64) ChangeSet {
	return ChangeSet{Author: author, Changes: []Change{{Key: key, Delete: true, BaseVersion: base}}}
}

func mustSucceed(g *WithT) func(Release, error) Release {
	return func(r Release, err error) Release {
		g.THelper()
		g.Expect(err).NotTo(HaveOccurred())
		return r
	}
}

// losing loses the answer of the next write of key after its effect, and runs
// meanwhile before the writer hears of it.
type lossyStore struct {
	objectapi.Store
	key       string
	meanwhile func()
	once      sync.Once
}

func (l *lossyStore) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	v, err := l.Store.Put(ctx, key, value, expect)
	if key == l.key && err == nil {
		lost := false
		l.once.Do(func() { lost = true })
		if lost {
			l.meanwhile()
			return 0, objectapi.ErrUnknownOutcome
		}
	}
	return v, err
}

// The operator sees one accepted release, though the answer to the head's
// update was lost and others moved the head on by many releases before it could
// be read back. Comparing the head's id alone would report a failure (or accept
// the set a second time); the chain of records tells for certain.
func TestLostAnswerIsResolvedAfterTheHeadMovedOn(t *testing.T) {
	for _, later := range []int{0, 1, 2, maxRecentRefs + 4, maxRecentRefs + 5} {
		g := NewWithT(t)
		ctx, objects := context.Background(), standin.New()
		first := mustSucceed(g)(publisher(objects, 1).Apply(ctx, putRow("ada", "pools/a", "0", 0)))
		lossy := &lossyStore{Store: objects, key: HeadKey, meanwhile: func() {
			for i := range later {
				mustSucceed(g)(publisher(objects, uint64(i)).Apply(ctx, putRow("bo", fmt.Sprintf("pools/b%d", i), "1", 0)))
			}
		}}
		// alone is the way of sets too large for the queue, which has its own
		// look at the chain of records.
		accept := []func(context.Context, ChangeSet) (Release, error){publisher(lossy, 2).Apply, publisher(lossy, 2).commitDirect}[later%2]
		rel := mustSucceed(g)(accept(ctx, putRow("ada", "pools/a", "1", first.Number)))
		g.Expect(rel.Number).To(Equal(first.Number + 1))
		head := mustSucceed(g)(latestRelease(ctx, objects))
		g.Expect(head.Number).To(Equal(first.Number + 1 + uint64(later)))
		row, _ := head.Row("pools/a")
		g.Expect(row.Version).To(Equal(rel.Number), "accepted once")
	}
}

func latestRelease(ctx context.Context, store objectapi.Store) (Release, error) {
	rel, _, err := publisher(store, 9).Head(ctx)
	return rel, err
}

// Two operators, then fifty, then three hundred release at once, each another
// row. All of them see their change accepted, no row is lost, and the backlog
// is accepted in groups: a writer costs its own entry and its removal, not a
// series of failed updates.
func TestRacingOperatorsLoseNothing(t *testing.T) {
	for _, n := range []int{2, 50, 300} {
		g := NewWithT(t)
		ctx, objects := context.Background(), standin.New()
		objects.SetFaults(standin.Faults{Delay: 1e6})
		errs := runConcurrently(n, func(i int) error {
			_, err := publisher(objects, uint64(i)).Apply(ctx, putRow(fmt.Sprint("op", i), fmt.Sprintf("pools/%03d", i), "x", 0))
			return err
		})
		g.Expect(errors.Join(errs...)).NotTo(HaveOccurred())
		head := mustSucceed(g)(latestRelease(ctx, objects))
		g.Expect(head.Rows).To(HaveLen(n))
		left, err := objects.List(ctx, queuePrefix)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(left).To(BeEmpty())
		t.Logf("%d operators: %d releases, %+v", n, head.Number, objects.Counts())
		if n >= 50 {
			g.Expect(head.Number).To(BeNumerically("<", n/2), "accepted in groups")
			g.Expect(objects.Counts().Writes).To(BeNumerically("<", 3*n))
		}
	}
}

// A backlog meets the platform's call rate: most calls of a hundred operators are
// refused at first. They wait and go on; nobody is told less than accepted.
func TestBacklogWithinTheCallRate(t *testing.T) {
	g := NewWithT(t)
	ctx, objects := context.Background(), standin.New()
	objects.SetFaults(standin.Faults{CallBudget: 600})
	errs := runConcurrently(100, func(i int) error {
		_, err := publisher(objects, uint64(i)).Apply(ctx, putRow(fmt.Sprint("op", i), fmt.Sprintf("pools/%03d", i), "x", 0))
		return err
	})
	g.Expect(errors.Join(errs...)).NotTo(HaveOccurred())
	objects.SetFaults(standin.Faults{})
	g.Expect(mustSucceed(g)(latestRelease(ctx, objects)).Rows).To(HaveLen(100))
}

func runConcurrently(n int, f func(i int) error) []error {
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { errs[i] = f(i) })
	}
	wg.Wait()
	return errs
}

// Fifty operators edit the same row from the same version. One is accepted; the
// others see a conflict that names the row and the author who was faster.
func TestOneOfFiftyEditsOfARowIsAccepted(t *testing.T) {
	g := NewWithT(t)
	ctx, objects := context.Background(), standin.New()
	mustSucceed(g)(publisher(objects, 1).Apply(ctx, putRow("ada", "pools/a", "0", 0)))
	errs := runConcurrently(50, func(i int) error {
		_, err := publisher(objects, uint64(i)).Apply(ctx, putRow(fmt.Sprint("op", i), "pools/a", fmt.Sprint("edit", i), 1))
		return err
	})
	head := mustSucceed(g)(latestRelease(ctx, objects))
	row, _ := head.Row("pools/a")
	won := 0
	for i, err := range errs {
		var conflict *ConflictError
		if err == nil {
			won++
			g.Expect(row.Author).To(Equal(fmt.Sprint("op", i)))
			continue
		}
		g.Expect(errors.As(err, &conflict)).To(BeTrue(), fmt.Sprint(err))
		g.Expect(conflict.Rows).To(Equal([]RowConflict{{Key: "pools/a", BaseVersion: 1, CurrentVersion: row.Version, Author: row.Author}}))
	}
	g.Expect(won).To(Equal(1))
}

// One operator deletes a pool while another adds a route to it. Each edit is
// valid alone; together the route would dangle. Exactly one is accepted and the
// other one is told why, whoever commits the two.
func TestEditsThatDangleTogetherAreNotBothAccepted(t *testing.T) {
	for seed := range 20 {
		g := NewWithT(t)
		ctx, objects := context.Background(), standin.New()
		mustSucceed(g)(publisher(objects, 1).Apply(ctx, putRow("ada", "pools/a", "0", 0)))
		sets := []ChangeSet{deleteRow("ada", "pools/a", 1), putRow("bo", "routes/r", "a", 0)}
		errs := runConcurrently(2, func(i int) error {
			_, err := publisher(objects, uint64(2*seed+i)).Apply(ctx, sets[i])
			return err
		})
		g.Expect(errs).To(ContainElement(BeNil()))
		g.Expect(errs).To(ContainElement(MatchError(ErrInvalid)))
		g.Expect(validatePoolRefs(mustSucceed(g)(latestRelease(ctx, objects)).Rows)).To(Succeed())
	}
}

// A conflict with a deletion names who deleted the row.
func TestConflictWithADeletionNamesItsAuthor(t *testing.T) {
	g := NewWithT(t)
	ctx, p := context.Background(), publisher(standin.New(), 1)
	mustSucceed(g)(p.Apply(ctx, putRow("ada", "pools/a", "0", 0)))
	mustSucceed(g)(p.Apply(ctx, deleteRow("bo", "pools/a", 1)))
	_, err := p.Apply(ctx, putRow("ada", "pools/a", "1", 1))
	g.Expect(err).To(MatchError(ContainSubstring("deleted in 2 by bo")))
}

// enqueue leaves set in the queue, as a writer that goes no further does.
func enqueueEntry(g *WithT, p *Publisher, id string, set ChangeSet) *queuedWriter {
	set.ID = id
	q := &queuedWriter{p: p, set: set, since: 1, key: queuePrefix + id}
	left := queueEntry{Set: set, Since: 1, Expires: p.Clock.Now().Add(queueTTL)}
	g.Expect(p.putImmutable(context.Background(), q.key, left)).To(Succeed())
	return q
}

// A writer dies after it queued its edit and another commits it; the row is
// then deleted. The entry that the dead writer left must not bring the row back.
func TestEntryOfADeadWriterIsAcceptedOnce(t *testing.T) {
	g := NewWithT(t)
	ctx, objects := context.Background(), standin.New()
	p := publisher(objects, 1)
	mustSucceed(g)(p.Apply(ctx, putRow("ada", "pools/a", "0", 0)))
	enqueueEntry(g, p, "dead", putRow("cy", "pools/c", "0", 0))
	second := mustSucceed(g)(p.Apply(ctx, putRow("bo", "pools/b", "0", 0)))
	g.Expect(second.Rows).To(HaveLen(3), "accepted together")
	mustSucceed(g)(p.Apply(ctx, deleteRow("bo", "pools/c", second.Number)))
	last := mustSucceed(g)(p.Apply(ctx, putRow("bo", "pools/d", "0", 0)))
	_, back := last.Row("pools/c")
	g.Expect(back).To(BeFalse())
}

// Somebody else commits a writer's queued edit, and a third operator edits the
// same row again before the writer wakes up. It must hear that its edit was
// accepted, and not of a conflict with itself.
func TestWriterLearnsOfAcceptanceByOthers(t *testing.T) {
	g := NewWithT(t)
	ctx, objects := context.Background(), standin.New()
	p := publisher(objects, 1)
	mustSucceed(g)(p.Apply(ctx, putRow("ada", "pools/a", "0", 0)))
	q := enqueueEntry(g, p, "slow", putRow("bo", "pools/a", "1", 1))
	second := mustSucceed(g)(p.Apply(ctx, putRow("cy", "pools/c", "0", 0)))
	mustSucceed(g)(p.Apply(ctx, putRow("cy", "pools/a", "2", second.Number)))
	rel, done, err := q.attempt(ctx, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(done).To(BeTrue())
	g.Expect(rel.Number).To(Equal(second.Number))
}

// A writer withdraws its edit from the queue and reports it as refused, while
// another has already merged it and is about to update the head. The other's
// update must fail, or an edit that was reported as refused would be in force.
func TestRefusedSetIsNotAcceptedBehindItsWriter(t *testing.T) {
	g := NewWithT(t)
	ctx, objects := context.Background(), standin.New()
	p := publisher(objects, 1)
	mustSucceed(g)(p.Apply(ctx, putRow("ada", "pools/a", "0", 0)))
	q := enqueueEntry(g, p, "withdrawn", putRow("ada", "routes/r", "a", 0))
	racing := &hookStore{Store: objects, key: HeadKey, hook: func() {
		_, done, err := q.withdraw(ctx, ErrInvalid)
		g.Expect(done).To(BeTrue())
		g.Expect(err).To(MatchError(ErrInvalid))
	}}
	rel := mustSucceed(g)(publisher(racing, 2).Apply(ctx, putRow("bo", "pools/b", "0", 0)))
	_, accepted := rel.Row("routes/r")
	g.Expect(accepted).To(BeFalse())
	g.Expect(rel.Rows).To(HaveLen(2))
}

// before runs a step before the first write of key.
type hookStore struct {
	objectapi.Store
	key  string
	hook func()
	once sync.Once
}

func (b *hookStore) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if key == b.key {
		b.once.Do(b.hook)
	}
	return b.Store.Put(ctx, key, value, expect)
}

// Tables over the platform's value limit are split, and still accepted by one
// update of the head: a writer that dies before it leaves the earlier release.
func TestLargeTablesAreAcceptedInOneStep(t *testing.T) {
	g := NewWithT(t)
	ctx, objects := context.Background(), standin.New()
	big := strings.Repeat("x", 300<<10)
	set := ChangeSet{Author: "ada"}
	for i := range 5 {
		set.Changes = append(set.Changes, putRow("", fmt.Sprint("pools/", i), big, 0).Changes...)
	}
	mustSucceed(g)(publisher(objects, 1).Apply(ctx, set))
	head, _, err := readHead(ctx, objects)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(head.PartKeys)).To(BeNumerically(">", 2))
	g.Expect(mustSucceed(g)(latestRelease(ctx, objects)).Rows).To(HaveLen(5))

	dead := publisher(&failingStore{Store: objects, key: HeadKey}, 1)
	dead.MaxAttempts = 2
	_, err = dead.Apply(ctx, putRow("ada", "pools/0", "small", 1))
	g.Expect(err).To(HaveOccurred())
	g.Expect(mustSucceed(g)(latestRelease(ctx, objects)).Number).To(BeEquivalentTo(1))
}

// dying refuses every write of key.
type failingStore struct {
	objectapi.Store
	key string
}

func (d *failingStore) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if key == d.key {
		return 0, objectapi.ErrUnavailable
	}
	return d.Store.Put(ctx, key, value, expect)
}

// History lists the accepted releases only, and a rollback is a new release
// with the old rows under a higher number.
func TestHistoryAndRollback(t *testing.T) {
	g := NewWithT(t)
	ctx, objects := context.Background(), standin.New()
	p := publisher(objects, 1)
	const n = 2*maxRecentRefs + 10
	for i := range n {
		mustSucceed(g)(p.Apply(ctx, putRow("ada", "pools/a", fmt.Sprint(i), uint64(i))))
	}
	refs, err := p.History(ctx, 1000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(refs).To(HaveLen(n))
	for i, r := range refs {
		g.Expect(r.Number).To(BeEquivalentTo(n - i))
	}
	back := mustSucceed(g)(p.Rollback(ctx, 3, "bo"))
	g.Expect(back.Number).To(BeEquivalentTo(n + 1))
	old := mustSucceed(g)(p.ByNumber(ctx, 3))
	g.Expect(back.Hash).To(Equal(old.Hash))
	_, err = p.Rollback(ctx, 4711, "bo")
	g.Expect(err).To(MatchError(ErrNotRetained))
}

// Objects of writers that lost a race or died go when the release of their
// number is no longer kept, so that the platform's store stays bounded.
func TestObjectsNoLongerKeptAreCollected(t *testing.T) {
	g := NewWithT(t)
	ctx, objects := context.Background(), standin.New()
	p := publisher(objects, 1)
	for n := uint64(1); n <= 3; n++ {
		g.Expect(p.putImmutable(ctx, objectKey(Ref{Number: n, ID: "dead"}, "000"), []Row{})).To(Succeed())
	}
	g.Expect(p.collectGarbage(ctx, 1, retainedReleases+1)).To(BeEquivalentTo(1))
	g.Expect(p.collectGarbage(ctx, 1, retainedReleases+3)).To(BeEquivalentTo(3))
	objs, err := objects.List(ctx, releasePrefix)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(objs).To(HaveLen(1))
}

// The platform is restored to an earlier state while entry hosts have a later
// release in force. An operator who goes on editing is refused, with the way to
// mend it; after Recover the numbers are above all that hosts have seen.
func TestRestoredPlatformRefusesUntilRecovered(t *testing.T) {
	g := NewWithT(t)
	ctx, objects := context.Background(), standin.New()
	p := publisher(objects, 1)
	mustSucceed(g)(p.Apply(ctx, putRow("ada", "pools/a", "old", 0)))
	inForce := Release{Number: 5, Rows: []Row{{Key: "pools/a", Data: []byte(`"new"`), Version: 5}}}
	inForce.Hash = HashRows(inForce.Rows)
	g.Expect(raiseHighWaterMark(ctx, objects, HighWaterMark{Number: 5, Hash: inForce.Hash, Host: "e1"})).To(Succeed())

	_, err := p.Apply(ctx, putRow("bo", "pools/b", "1", 0))
	g.Expect(err).To(MatchError(ErrPlatformBehind))
	rel := mustSucceed(g)(p.Recover(ctx, inForce, "bo"))
	g.Expect(rel.Number).To(BeEquivalentTo(6))
	next := mustSucceed(g)(p.Apply(ctx, putRow("bo", "pools/b", "1", 0)))
	g.Expect(next.Number).To(BeEquivalentTo(7))
	g.Expect(next.Rows).To(HaveLen(2))
}
