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

// simulation is a cluster under random faults, with the dispatches it has made.
type simulation struct {
	*cluster
	hosts           []*Manager
	lastIncarnation uint64
	keys            []Key
	owned           map[int][]Key // keys granted and not ended, by host
	runs            map[Key]int   // dispatches by key
}

func (s *simulation) begin(t *rapid.T) {
	h := rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")
	k := rapid.SampledFrom(s.keys).Draw(t, "key")
	ctx, cancel := context.WithTimeout(background, time.Millisecond)
	defer cancel()
	if s.hosts[h].Begin(ctx, k).State == Granted {
		s.owned[h] = append(s.owned[h], k)
	}
}

// end ends the oldest claim of a host: finished, released or with unknown outcome.
// As it is drawn at any later time, it also covers an owner that was paused.
func (s *simulation) end(t *rapid.T) {
	h := rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")
	if len(s.owned[h]) == 0 {
		return
	}
	k := s.owned[h][0]
	s.owned[h] = s.owned[h][1:]
	switch rapid.IntRange(0, 4).Draw(t, "end") {
	case 0:
		s.hosts[h].Release(background, k)
		return
	case 4:
		s.hosts[h].ReleasePartial(background, k)
		return
	case 1:
		s.hosts[h].MarkUnknown(background, k)
	default:
		s.hosts[h].Finish(background, k, Response{Status: 200})
	}
	s.runs[k]++
	if s.runs[k] > 1 {
		t.Fatalf("%v ran %d times", k, s.runs[k])
	}
}

func (s *simulation) restart(t *rapid.T) {
	h := rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")
	for _, k := range s.owned[h] {
		s.runs[k]++ // it may have been dispatched before the host was killed
	}
	s.owned[h] = nil
	s.lastIncarnation++
	s.hosts[h] = s.start(hostName(h), s.lastIncarnation)
}

func hostName(h int) string { return fmt.Sprint("h", h) }

func (s *simulation) fault(t *rapid.T) {
	a, b := hostName(rapid.IntRange(0, 2).Draw(t, "a")), hostName(rapid.IntRange(0, 2).Draw(t, "b"))
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		s.objects.SetFaults(standin.Faults{Down: true})
	case 1:
		s.objects.SetFaults(standin.Faults{LoseWriteResponses: 2})
	case 2:
		s.objects.SetFaults(standin.Faults{StaleReads: true})
	case 3:
		s.net.Partition(a, b)
	case 4:
		s.net.LoseResponses(a, b)
	default:
		s.objects.SetFaults(standin.Faults{})
		s.net.Heal(a, b)
	}
	s.clock.Advance(s.opts.StoreBackoff)
}

// Hosts die, pause, and lose the connection to each other and to the platform in
// random order, while callers resend a few keys to all of them. No key may be
// dispatched twice, which would be a doubled booking.
func TestNoSequenceOfFaultsRunsAKeyTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{cluster: newCluster(), owned: map[int][]Key{}, runs: map[Key]int{}}
		for h := range 3 {
			s.lastIncarnation++
			s.hosts = append(s.hosts, s.start(hostName(h), s.lastIncarnation))
		}
		for i, h := range s.hosts {
			ticket, _ := h.MintTicket(background, "depot")
			s.keys = append(s.keys, testKey(ticket), testKey(fmt.Sprint("k", i)))
		}
		t.Repeat(map[string]func(*rapid.T){"begin": s.begin, "begin2": s.begin, "end": s.end, "fault": s.fault, "restart": s.restart})
	})
}

// TestMain sets a fixed seed, so that every run draws the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
