package stages

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// All servers of a service are in backoff while the requests of an account arrive, and return. Guards
// against requests that come before those of other accounts, and are never counted as use, because no
// rate was known as they arrived.
func TestRequestsThatArriveInAnOutageAreCharged(t *testing.T) {
	s := newTestService()
	for _, knownBefore := range []bool{true, false} {
		services := map[string]Service{"s": s}
		l := newAdmissionSim(t, services)
		if knownBefore {
			l.enqueueFor("a", "first", 0, 1, time.Hour, 2*time.Hour)
			l.a.Schedule(l.now)
		}
		away := s
		away.ItemsPerSecond = 0
		services["s"] = away
		l.a.inFlight["s"] = workAmount{items: 10_000}
		for range 10 {
			l.now = l.now.Add(shareWindow / 10)
			l.a.Schedule(l.now)
		}
		l.enqueueFor("a", "in outage", 0, 31, time.Hour, 2*time.Hour)
		l.a.Schedule(l.now)
		services["s"] = s
		delete(l.a.inFlight, "s")
		l.now = l.now.Add(time.Millisecond)
		l.a.Schedule(l.now)
		l.g.Expect(l.started).To(ContainElement("in outage"))
		share := l.a.shares.share("s", "a")
		l.g.Expect(share.used).To(BeNumerically("~", 0.2, 0.01), "known before: %v", knownBefore)
		l.g.Expect(share.demand).To(BeNumerically("~", 0.2, 0.01))
	}
}

// Four of five servers are in backoff for a moment, in which requests arrive. Guards against an account
// that is charged five times the time that its requests take.
func TestUseIsChargedAtTheRateOfAllServers(t *testing.T) {
	s := newTestService()
	services := map[string]Service{"s": s}
	l := newAdmissionSim(t, services)
	l.enqueueFor("before", "first", 0, 1, time.Hour, 2*time.Hour)
	few := s
	few.ItemsPerSecond /= 5
	services["s"] = few
	for i := range 31 {
		l.enqueueFor("a", fmt.Sprint(i), 0, 1, time.Hour, 2*time.Hour)
	}
	services["s"] = s
	l.a.Schedule(l.now)
	l.g.Expect(l.a.shares.share("s", "a").used).To(BeNumerically("~", 0.2, 0.01))
}

// An account asks again after a while without requests. Guards against demand that is forgotten in part as
// soon as it arrives, as if it were as old as that of the account's last requests.
func TestNewDemandIsNotForgottenOnArrival(t *testing.T) {
	l := newAdmissionSim(t, map[string]Service{"s": newTestService()})
	l.a.inFlight["s"] = workAmount{items: 10_000}
	l.enqueueFor("a", "first", 0, 155, time.Hour, 2*time.Hour)
	l.a.Schedule(l.now)
	l.now = l.now.Add(2 * shareWindow)
	l.enqueueFor("a", "second", 0, 155, time.Hour, 2*time.Hour)
	l.a.Schedule(l.now)
	l.g.Expect(l.a.shares.share("s", "a").demand).To(BeNumerically("~", 1+math.Exp(-2), 0.01))
}
