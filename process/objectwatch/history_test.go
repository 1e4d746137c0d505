package objectwatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"
	"weak"

	. "github.com/onsi/gomega"
)

// newHistory returns a history after a first list.
func newHistory[T any](list []Object[T], revision Revision) *history[T] {
	h := &history[T]{changed: make(chan struct{}), listed: make(chan struct{})}
	h.reset(list, revision, time.Time{})
	return h
}

// Guards against a host that exceeds its memory limit and is killed with its requests: each version
// of a large configuration stayed in memory.
func TestOlderVersionsAreNotKept(t *testing.T) {
	g := NewWithT(t)
	newVersion := func() *[1 << 16]byte { return new([1 << 16]byte) }
	var versions []weak.Pointer[[1 << 16]byte]
	h := newHistory[*[1 << 16]byte](nil, 1)
	for revision := Revision(2); revision < maxBatches; revision++ {
		v := newVersion()
		versions = append(versions, weak.Make(v))
		h.add([]Object[*[1 << 16]byte]{{Name: "config", Revision: revision, Value: v}}, revision, time.Time{})
	}
	runtime.GC()
	kept := 0
	for _, v := range versions {
		if v.Value() != nil {
			kept++
		}
	}
	g.Expect(kept).To(Equal(1))
	runtime.KeepAlive(h)
}

// Guards against missed changes and restored objects: a watch gets the last change of each object
// that has changed since, whatever happened to it in between.
func TestWatchGetsTheLastChangeOfEachObject(t *testing.T) {
	h := newHistory([]Object[string]{object("a", 1, "1"), object("b", 2, "1"), object("c", 3, "1")}, 3)
	deletion := func(name string, revision Revision) Object[string] {
		return Object[string]{Name: name, Revision: revision, Deleted: true}
	}
	h.add([]Object[string]{object("a", 4, "2"), deletion("b", 5)}, 5, time.Time{})
	h.add([]Object[string]{object("b", 6, "2"), deletion("c", 7), object("a", 8, "3")}, 8, time.Time{})
	h.add([]Object[string]{object("d", 9, "1"), deletion("b", 10), deletion("d", 11)}, 11, time.Time{})
	for from, want := range map[Revision][]Object[string]{
		3:  {deletion("c", 7), object("a", 8, "3"), deletion("b", 10), deletion("d", 11)},
		5:  {deletion("c", 7), object("a", 8, "3"), deletion("b", 10), deletion("d", 11)},
		8:  {deletion("b", 10), deletion("d", 11)},
		11: nil,
	} {
		t.Run(fmt.Sprint("from ", from), func(t *testing.T) {
			g := NewWithT(t)
			u := h.since(from)
			g.Expect(u.objects).To(Equal(want))
			g.Expect(u.revision).To(Equal(Revision(11)))
			g.Expect(u.trimmed).To(BeFalse())
		})
	}
}
