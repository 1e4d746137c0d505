package accountshare

import (
	"fmt"
	"testing"
	"time"

	"bilberrydale/process/clock"
)

// BenchmarkAdmit measures the admission of one request while nothing is short.
func BenchmarkAdmit(b *testing.B) {
	s := New(Options{Hosts: func() (string, []string) { return "a", []string{"a"} }, Clock: clock.System{}, Rand: clock.SystemRand{}})
	for b.Loop() {
		s.Admit(Request{Service: simService, Account: "one", Cost: 1})
		s.Record(simService, 1, Taken)
	}
}

// BenchmarkReport measures one decision of a host to which as many hosts report as may, each on as
// many classes as it may.
func BenchmarkReport(b *testing.B) {
	s := New(Options{Hosts: func() (string, []string) { return "a", []string{"a"} }, Clock: clock.NewManual(time.Unix(1000, 0)), Rand: clock.SystemRand{}})
	svc := s.get(simService)
	for child := range fanOut {
		t := totals{demand: map[class]float64{}, taken: 80, refused: 1, hosts: 1}
		for i := range maxClasses {
			t.demand[class{account: accountID(i)}] = float64(i)
		}
		svc.children[fmt.Sprint("host-", child)] = received{t, s.opts.Clock.Now()}
	}
	for b.Loop() {
		s.report(b.Context(), svc)
	}
}
