package claim

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	standin "bilberrydale/internal/standin/platform"
)

// world is what a random run of faults is checked against.
type world struct {
	*cluster
	hosts []*Manager
	next  uint64
	keys  []Key
	owned map[int][]Key // granted and not ended, by host
	ran   map[Key]int   // dispatches
}

func (w *world) begin(t *rapid.T) {
	h := rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")
	k := rapid.SampledFrom(w.keys).Draw(t, "key")
	ctx, cancel := context.WithTimeout(background, time.Millisecond)
	defer cancel()
	if w.hosts[h].Begin(ctx, k).State == Granted {
		w.owned[h] = append(w.owned[h], k)
	}
}

// end runs, gives up or loses what a host owns, at any later time: a paused
// owner is one that ends late.
func (w *world) end(t *rapid.T) {
	h := rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")
	if len(w.owned[h]) == 0 {
		return
	}
	k := w.owned[h][0]
	w.owned[h] = w.owned[h][1:]
	switch rapid.IntRange(0, 4).Draw(t, "end") {
	case 0:
		w.hosts[h].Release(background, k)
		return
	case 4:
		w.hosts[h].ReleasePartial(background, k)
		return
	case 1:
		w.hosts[h].MarkUnknown(background, k)
	default:
		w.hosts[h].Finish(background, k, Response{Status: 200})
	}
	w.ran[k]++
	if w.ran[k] > 1 {
		t.Fatalf("%v ran %d times", k, w.ran[k])
	}
}

func (w *world) restart(t *rapid.T) {
	h := rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")
	for _, k := range w.owned[h] {
		w.ran[k]++ // it may have been dispatched before the kill
	}
	w.owned[h] = nil
	w.next++
	w.hosts[h] = w.start(name(h), w.next)
}

func name(h int) string { return fmt.Sprint("h", h) }

func (w *world) fault(t *rapid.T) {
	a, b := name(rapid.IntRange(0, 2).Draw(t, "a")), name(rapid.IntRange(0, 2).Draw(t, "b"))
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		w.objects.SetFaults(standin.Faults{Down: true})
	case 1:
		w.objects.SetFaults(standin.Faults{LoseWrites: 2})
	case 2:
		w.objects.SetFaults(standin.Faults{StaleReads: true})
	case 3:
		w.net.Partition(a, b)
	case 4:
		w.net.LoseResponses(a, b)
	default:
		w.objects.SetFaults(standin.Faults{})
		w.net.Heal(a, b)
	}
	w.clock.Advance(w.opts.StoreBackoff)
}

// Hosts die, pause and lose each other and the platform in any order while
// callers resend a few keys to all of them. Whatever happens, no key may be
// dispatched twice: that is a doubled booking.
func TestNoOrderOfFaultsRunsAKeyTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{cluster: newCluster(), owned: map[int][]Key{}, ran: map[Key]int{}}
		for h := range 3 {
			w.next++
			w.hosts = append(w.hosts, w.start(name(h), w.next))
		}
		for i, h := range w.hosts {
			ticket, _ := h.MintTicket(background, "depot")
			w.keys = append(w.keys, key(ticket), key(fmt.Sprint("k", i)))
		}
		t.Repeat(map[string]func(*rapid.T){"begin": w.begin, "begin2": w.begin, "end": w.end, "fault": w.fault, "restart": w.restart})
	})
}

// TestMain fixes the seed, so that every run draws the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
