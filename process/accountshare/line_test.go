package accountshare

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/waitline"
)

// Times of requests that wait in a line.
const (
	lineTarget   = 400 * time.Millisecond
	lineDeadline = 2 * time.Second
	lineMaxWait  = lineTarget / 4
)

// roomAt reports whether a server has room by the bound of the line.
func (s *simulation) roomAt(i int, now time.Time) bool {
	load := 0
	for _, end := range s.servers[i].ends {
		if now.Before(end) {
			load++
		}
	}
	return load < waitline.Limit(s.servers[i].slots, 0)
}

// sendWithRoom sends a request to a server that has room. It returns false if there is none.
func (s *simulation) sendWithRoom(r *simRequest, now time.Time) bool {
	for _, i := range s.rand.Perm(len(s.servers)) {
		if s.roomAt(i, now) && s.servers[i].take(s.work, now) {
			ends := s.servers[i].ends
			r.host.line.ObserveServerTime(ends[len(ends)-1].Sub(now), len(ends) <= s.servers[i].slots, now)
			r.host.record(Taken, s.cost)
			r.account.count(r, 0, 1)
			return true
		}
	}
	return false
}

// join sends a request, or adds it to the line of its host.
func (s *simulation) join(r *simRequest, now time.Time) {
	if r.host.line.Len() == 0 && s.sendWithRoom(r, now) {
		return
	}
	t, _, outcome := r.host.line.Join(waitline.Request{
		Priority: r.priority, Target: now.Add(lineTarget), Deadline: now.Add(lineDeadline), MaxWait: lineMaxWait, RoomKey: "all",
		Room: func(now time.Time) waitline.Belief {
			for i := range s.servers {
				if s.roomAt(i, now) {
					return waitline.Belief{Room: true}
				}
			}
			return waitline.Belief{}
		},
	}, now)
	if outcome != waitline.Waiting {
		r.host.record(Refused, s.cost)
		s.comeBack(r, now.Add(backoff))
		return
	}
	r.ticket, r.joinedAt = t, now
	s.waiting = append(s.waiting, r)
}

// giveTurns sends the requests that have their turn, one after the other.
func (s *simulation) giveTurns(now time.Time) {
	for decided := true; decided; {
		decided = false
		for _, h := range s.hosts {
			h.line.Advance(now)
		}
		rest := s.waiting[:0]
		for _, r := range s.waiting {
			select {
			case <-r.ticket.Done():
				decided = true
				s.leaveLine(r, now)
			default:
				rest = append(rest, r)
			}
		}
		s.waiting = rest
	}
}

// leaveLine handles a request whose wait has ended.
func (s *simulation) leaveLine(r *simRequest, now time.Time) {
	outcome := r.ticket.Outcome()
	if r.host.line.LackedRoom(outcome, now.Sub(r.joinedAt)) {
		r.host.record(Refused, s.cost)
	}
	sent := !outcome.Refused() && (s.sendWithRoom(r, now) || s.send(r, now))
	r.host.line.EndTurn(r.ticket)
	if !sent {
		s.comeBack(r, now.Add(backoff))
	}
}

// lineSeeds is the number of seeds with which a load is played.
const lineSeeds = 4

// Guards against a large account that is refused while servers have room: at nine tenths of the load that they
// take, requests wait in the line for a moment now and then.
func TestShortWaitsAreNoShortage(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{1, 3, 9} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			served := 0.0
			for seed := range uint64(lineSeeds) {
				s := newSimulation(hosts, 2, seed)
				s.inLine = true
				s.accounts = []*simAccount{{name: "large", perSecond: 40}}
				for i := range 4 {
					s.accounts = append(s.accounts, &simAccount{name: fmt.Sprint("small-", i+1), perSecond: 8})
				}
				s.run(20 * time.Second)
				served += s.accounts[0].servedPart(2, 18) / lineSeeds
			}
			t.Logf("the large account served %.3f", served)
			g.Expect(served).To(BeNumerically(">=", 0.97))
		})
	}
}

// Guards against small accounts that are pushed aside by a large one where requests wait in a line, and
// against servers that are left idle then.
func TestSmallAccountsAreServedFromALine(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{1, 3, 9} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			servedWith, servedWithout := 0, 0
			for seed := range uint64(lineSeeds) {
				with, without := newSimulation(hosts, 2, seed).oneLargeFourSmall(), newSimulation(hosts, 2, seed).withoutShares().oneLargeFourSmall()
				for _, s := range []*simulation{with, without} {
					s.inLine = true
					s.run(16 * time.Second)
				}
				served := 0.0
				for _, a := range with.accounts[1:] {
					served += a.servedPart(burstAt+2, 15) / 4
				}
				inAll, inAllWithout := with.servedFrom(burstAt+2, 15), without.servedFrom(burstAt+2, 15)
				t.Logf("seed %d: small accounts served %.3f, in all %.3f of what is served without shares", seed, served, float64(inAll)/float64(inAllWithout))
				g.Expect(served).To(BeNumerically(">=", 0.9))
				servedWith, servedWithout = servedWith+inAll, servedWithout+inAllWithout
			}
			t.Logf("in all %.3f of what is served without shares", float64(servedWith)/float64(servedWithout))
			g.Expect(servedWith).To(BeNumerically(">=", 0.97*float64(servedWithout)))
		})
	}
}
