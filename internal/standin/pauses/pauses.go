// Package pauses counts what reaches a stand-in of a backend server while it wants no requests.
package pauses

import (
	"sync"
	"time"
)

// allowance is the time after a refusal within which requests do not count: they may have been
// sent before it arrived.
const allowance = 500 * time.Millisecond

// Counter counts the requests that reach a server from each sender in the times for which it has
// asked that sender for none. It is safe for concurrent use.
type Counter struct {
	mu       sync.Mutex           // guards the fields below
	asked    map[string][]pause   // by sender
	arrivals map[string][]arrival // by sender
}

// pause is a time in which a server wants no requests of a sender.
type pause struct{ from, until time.Time }

// arrival is a request that has reached a server.
type arrival struct {
	at   time.Time
	what string
}

// Arrived records a request.
func (p *Counter) Arrived(sender, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.arrivals == nil {
		p.arrivals = map[string][]arrival{}
	}
	p.arrivals[sender] = append(p.arrivals[sender], arrival{time.Now(), what})
}

// Asked records that the server asks a sender for no requests for d.
func (p *Counter) Asked(sender string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked == nil {
		p.asked = map[string][]pause{}
	}
	now := time.Now()
	p.asked[sender] = append(p.asked[sender], pause{now.Add(allowance), now.Add(d)})
}

// Worst returns what has reached the server from one sender within the pause with the most requests.
func (p *Counter) Worst() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var worst []string
	for sender, asked := range p.asked {
		for _, a := range asked {
			if within := a.within(p.arrivals[sender]); len(within) > len(worst) {
				worst = within
			}
		}
	}
	return worst
}

// Count returns the number of pauses that the server has asked for.
func (p *Counter) Count() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, asked := range p.asked {
		n += len(asked)
	}
	return n
}

// within returns the requests that arrived in the pause.
func (a pause) within(list []arrival) (out []string) {
	for _, r := range list {
		if r.at.After(a.from) && r.at.Before(a.until) {
			out = append(out, r.what)
		}
	}
	return out
}
