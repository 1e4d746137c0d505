package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Stage work for a late request was finished a moment before its deadline, and
// the stream that followed was cut by it. What a stream takes is learned by
// route, so that its stages are begun in time or not at all.
func TestStreamTimesAreLearnedByRoute(t *testing.T) {
	g := NewWithT(t)
	var f streamTimes
	g.Expect(f.expect("r")).To(Equal(streamTimeStart))
	for range 60 {
		f.note("r", streamTime{first: 400 * time.Millisecond, rest: 2 * time.Second})
	}
	g.Expect(f.expect("r").first).To(BeNumerically("~", 400*time.Millisecond, 10*time.Millisecond))
	g.Expect(f.expect("r").total()).To(BeNumerically("~", 3360*time.Millisecond, 50*time.Millisecond))
	g.Expect(f.expect("other")).To(Equal(streamTimeStart))
}
