package streamwriter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// killAll restarts all hosts at once. Nobody remembers a stream then.
func (f *testFleet) killAll() {
	for _, h := range f.hosts {
		h.restart()
	}
}

// beginAll lets each host begin streams at two versions, with ids from first on, and returns the
// versions by attempt.
func (f *testFleet) beginAll(first int) map[string]string {
	out := map[string]string{}
	for i := range 4 * len(f.hosts) {
		version := []string{"v1", "v2"}[i%2]
		out[f.hosts[i%len(f.hosts)].begin(first+i, version)] = version
	}
	return out
}

// expectKnown expects that all hosts know the versions of streams.
func (f *testFleet) expectKnown(t *testing.T, versions map[string]string) {
	t.Helper()
	g := NewWithT(t)
	for attempt, version := range versions {
		for _, h := range f.hosts {
			g.Expect(h.version(t, attempt)).To(Equal(version), "%s at %s", attempt, h.name)
		}
	}
}

// Guards against refusing, or joining to another version, the streams that clients take up after all
// hosts were killed at once: two versions serve, or the old one has just left.
func TestWriterIsKnownAfterAllHostsWereKilled(t *testing.T) {
	for name, listed := range map[string][]string{"both serve": {"v1", "v2"}, "the old one has left": {"v2"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newTestFleet(t, 3, 2)
				f.release("v1", "v2")
				began := f.beginAll(0)
				time.Sleep(2 * minArchiveInterval)
				f.listed = listed
				f.killAll()
				g.Expect(f.hosts[0].version(t, fmt.Sprintf("%016x", 0))).To(Equal("v1"), "before it has read any list")
				f.readAll()
				f.expectKnown(t, began)
				g.Expect(f.hosts[0].version(t, "another")).To(BeEmpty())
			})
		})
	}
}

// Guards against a host that has started again and replaces what its process before had written a
// moment ago: the streams of both are known after the next kill.
func TestArchiveOutlivesKillsInSeries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3, 2)
		f.release("v1", "v2")
		all := map[string]string{}
		for round := range 5 {
			for attempt, version := range f.beginAll(1000 * round) {
				all[attempt] = version
			}
			time.Sleep(2 * minArchiveInterval)
			f.killAll()
			time.Sleep(100 * time.Millisecond)
			f.readAll()
		}
		time.Sleep(archiveReadInterval)
		f.expectKnown(t, all)
	})
}

// Guards against losing the streams of a host because the one that would write them is gone, or of a
// build that does not.
func TestHostArchivesByItselfWithoutAnotherOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 3)
		f.release("v1", "v2")
		for _, h := range f.hosts[1:] {
			f.net.Leave(h.name)
		}
		attempt := f.hosts[0].begin(1, "v2")
		time.Sleep(2*archiveTimeout + 2*minArchiveInterval)
		f.killAll()
		NewWithT(t).Expect(f.hosts[0].version(t, attempt)).To(Equal("v2"))
	})
}

// Guards against losing streams that began while the archive was down, and against taking a host that
// cannot read it for one that knows.
func TestArchiveThatWasDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTestFleet(t, 2, 2)
		f.release("v1", "v2")
		f.archive.setDown(true)
		attempt := f.hosts[0].begin(1, "v2")
		time.Sleep(5 * time.Second)
		f.archive.setDown(false)
		time.Sleep(2 * minArchiveInterval)
		f.archive.setDown(true)
		f.killAll()
		f.readAll()
		g.Expect(f.hosts[1].version(t, attempt)).To(BeEmpty())
		f.archive.setDown(false)
		time.Sleep(archiveReadInterval)
		g.Expect(f.hosts[1].version(t, attempt)).To(Equal("v2"))
	})
}

// Guards against writes that grow with the streams, and against any while one version serves.
func TestArchiveTakesFewWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newTestFleet(t, 3, 2)
		f.hosts[0].begin(0, "v1")
		time.Sleep(time.Second)
		stores, _ := f.archive.counts()
		g.Expect(stores).To(BeZero())
		f.release("v1", "v2")
		before, _ := f.archive.counts()
		for i := range 100 {
			f.beginAll(1000 + 100*i)
			time.Sleep(100 * time.Millisecond)
		}
		stores, batches := f.archive.counts()
		perSecond := float64(stores-before) / 10
		g.Expect(perSecond).To(BeNumerically("<=", 3*float64(time.Second/minArchiveInterval)+1))
		g.Expect(batches).To(BeNumerically("<=", 6*(archiveSlots+1)))
	})
}

// Guards against more writes than the platform takes, at the size to come.
func TestWritesOfALargeFleetAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const domains, hosts = 10, 38
		f := newTestFleet(t, domains, hosts)
		writes := float64(domains*archiversOf(hosts)) / f.hosts[0].archiver.interval().Seconds()
		NewWithT(t).Expect(writes).To(BeNumerically("<=", fleetArchiveWrites))
	})
}
