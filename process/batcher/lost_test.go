package batcher

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The pattern: a failure domain with half of a service's servers loses power, and the list
// goes on telling of them for seconds. They are tried again and again, as they should be
// once they are back. Guards against whole calls that wait for a server which does not
// answer: only one item of each try is late.
func TestLostServersHoldUpOneItemATry(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x", "b": "x", "c": "x", "d": "y", "e": "y", "f": "y"})
	lost := map[string]bool{"d": true, "e": true, "f": true}
	failed := map[string]time.Time{} // when the first call to a server was given up
	tries, held := 0, 0              // calls after that to lost servers, and their items
	for ms := range 9000 {
		if ms%1000 == 0 {
			b.q.Recover()
		}
		if ms%50 == 0 {
			b.submit(fmt.Sprint(ms), 4, 1500*time.Millisecond, "y")
		}
		b.next()
		var open []*Call
		for _, c := range b.open {
			switch {
			case !lost[c.Server.ID]:
				open = append(open, c)
			case b.now.Before(c.FreeAt.Add(c.Expect + patience)):
				open = append(open, c)
			default:
				if first, again := failed[c.Server.ID]; !again {
					failed[c.Server.ID] = b.now
				} else if c.sent.After(first) {
					tries++
					held += len(c.Items)
				}
				c.Server.Failed(b.now)
				b.q.Ended(c, Answer{Err: errors.New("no answer")}, b.now)
			}
		}
		b.open = open
		b.answer(lost)
		b.now = b.now.Add(time.Millisecond)
	}
	b.g.Expect(tries).To(BeNumerically(">=", 3), "lost servers are tried again")
	b.g.Expect(held).To(Equal(tries))
}

// answer ends the calls that are due at servers that are there.
func (b *bench) answer(lost map[string]bool) {
	var open []*Call
	for _, c := range b.open {
		if lost[c.Server.ID] || b.now.Before(c.FreeAt) {
			open = append(open, c)
			continue
		}
		c.Server.Succeeded()
		b.end(c)
		b.q.Freed(c.Server.ID, c.bytes)
	}
	b.open = open
}

// Guards against a server that is back and stays with one item a call.
func TestServerThatAnswersAgainGetsWholeCalls(t *testing.T) {
	b := newBench(t, sheet, map[string]string{"a": "x"})
	b.dir.View().Server("a").Failed(b.now)
	b.now = b.now.Add(time.Second)
	b.submit("1", 8, 5*time.Second, "x")
	first := b.next()
	b.g.Expect(first[0].Items).To(HaveLen(1))
	b.now = first[0].FreeAt
	first[0].Server.Succeeded()
	b.end(first[0])
	b.g.Expect(b.next()[0].Items).To(HaveLen(7))
}
