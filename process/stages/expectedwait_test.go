package stages

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an expected wait that counts the requests behind, or work of other services.
func TestExpectedWaitCountsTheWorkBefore(t *testing.T) {
	other := newTestService()
	other.ItemsPerSecond = 10
	l := newAdmissionSim(t, map[string]Service{"s": newTestService(), "other": other})
	for i := range 31 {
		l.enqueue(fmt.Sprint("first ", i), 1, 10, 10*time.Second, 20*time.Second)
	}
	middle := &Ticket{Request: &Request{
		Worth: 0.5, Stages: []Stage{{Service: "s", Items: 10}, {Service: "other", Items: 1}},
		TargetTime: l.now.Add(10 * time.Second), Deadline: l.now.Add(20 * time.Second),
	}}
	l.a.Enqueue(middle, l.now)
	for i := range 10 {
		l.enqueue(fmt.Sprint("last ", i), 0.1, 10, 10*time.Second, 20*time.Second)
	}
	l.g.Expect(l.a.lineWait(middle)).To(Equal(2 * time.Second))
	l.a.Remove(middle)
	l.g.Expect(l.a.lineWait(middle)).To(BeZero(), "it does not wait")
}
