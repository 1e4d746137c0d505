package member

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bilberrydale/process/peer"
)

// heartbeat is the message and the answer of one exchange.
type heartbeat struct {
	Draining bool
	Hash     uint64 // of everyone the sender knows to be alive
	News     []news
	Parts    []part
}

// part is one attached summary.
type part struct {
	Name string
	Data []byte
}

type attachment struct {
	name    string
	produce func() []byte
	consume func(from peer.Identity, data []byte)
}

const (
	// maxPart bounds an attached summary in bytes; larger ones are not sent.
	maxPart = 2 << 10
	maxNews = 8192
)

// Attach lets a small summary ride on every heartbeat and on its answer.
// produce returns nil when there is nothing to say; consume must return soon
// and not keep data. Attach is called before Run.
func (m *Monitor) Attach(name string, produce func() []byte, consume func(from peer.Identity, data []byte)) {
	m.attached = append(m.attached, attachment{name, produce, consume})
}

func (m *Monitor) compose() *heartbeat {
	s := m.current.Load()
	hb := &heartbeat{Hash: s.hash, News: m.takeNews(newsAHeartbeat)}
	if m.opts.Draining != nil {
		hb.Draining = m.opts.Draining()
	}
	for _, a := range m.attached {
		if data := a.produce(); len(data) > 0 && len(data) <= maxPart {
			hb.Parts = append(hb.Parts, part{a.name, data})
		}
	}
	return hb
}

// exchange sends a heartbeat to host and takes the answer in.
func (m *Monitor) exchange(host string) error {
	ctx, cancel := context.WithTimeout(m.ctx, m.opts.Timeout)
	defer cancel()
	var answer heartbeat
	began := time.Now()
	hb := m.compose()
	m.Counters.BusyNanos.Add(int64(time.Since(began)))
	m.Counters.Sent.Add(1)
	if err := m.opts.Link.Call(ctx, host, MethodHeartbeat, hb, &answer); err != nil {
		return err
	}
	p, ok := m.Lookup(host)
	if !ok {
		return nil
	}
	m.take(p.Identity, &answer)
	return nil
}

func (m *Monitor) onHeartbeat(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var hb heartbeat
	if err := peer.Unmarshal(payload, &hb); err != nil {
		return nil, fmt.Errorf("decode heartbeat: %w", err)
	}
	if known, ok := m.Lookup(from.Host); ok && from.Incarnation < known.Incarnation {
		return nil, errOld
	}
	m.Counters.Received.Add(1)
	m.take(from, &hb)
	return peer.Marshal(m.compose())
}

// take uses what a heartbeat or its answer says.
func (m *Monitor) take(from peer.Identity, hb *heartbeat) {
	began := time.Now()
	defer func() { m.Counters.BusyNanos.Add(int64(time.Since(began))) }()
	now := m.opts.Clock.Now()
	m.opts.Link.AddPeer(from)
	m.heard(from, hb.Draining, now)
	m.takeHearsay(hb.News, now)
	for _, p := range hb.Parts {
		for _, a := range m.attached {
			if a.name == p.Name {
				a.consume(from, p.Data)
			}
		}
	}
	if m.pull.due(hb.Hash == m.current.Load().hash, now, m.opts.Interval) {
		m.start(func() { m.pullFrom(from.Host) })
	}
}

func (m *Monitor) takeHearsay(list []news, now time.Time) {
	if len(list) > maxNews {
		list = list[:maxNews]
	}
	for _, n := range list {
		if !n.Silent {
			m.opts.Link.AddPeer(n.Identity)
		}
	}
	for _, host := range m.gossip(list, now, 2*m.opts.Interval) {
		m.start(func() { m.check(host) })
	}
}

func (m *Monitor) onMembers(context.Context, peer.Identity, []byte) ([]byte, error) {
	return peer.Marshal(m.everyone())
}

// members asks host for everyone it knows to be alive.
func (m *Monitor) members(host string) error {
	ctx, cancel := context.WithTimeout(m.ctx, m.opts.Timeout)
	defer cancel()
	var list []news
	if err := m.opts.Link.Call(ctx, host, MethodMembers, nil, &list); err != nil {
		return err
	}
	m.Counters.Pulls.Add(1)
	m.takeHearsay(list, m.opts.Clock.Now())
	return nil
}

func (m *Monitor) pullFrom(host string) {
	before := m.current.Load().hash
	err := m.members(host)
	m.pull.done(err == nil && m.current.Load().hash != before, m.opts.Clock.Now(), m.opts.Interval)
}

// pullState decides when to ask a peer for its whole list. Heartbeats carry
// only news; a host that missed some, such as after a cut, sees another hash
// for several heartbeats. Hosts whose links differ may disagree for hours, so
// a pull without effect doubles the wait before the next.
type pullState struct {
	mu       sync.Mutex
	differed int
	notUntil time.Time
	wait     time.Duration
}

const (
	pullAfter        = 5   // heartbeats with another hash
	firstPullWait    = 5   // intervals
	maxPullIntervals = 300 // between pulls without effect
)

func (p *pullState) due(same bool, now time.Time, interval time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if same {
		p.differed = 0
		return false
	}
	p.differed++
	if p.differed < pullAfter || now.Before(p.notUntil) {
		return false
	}
	p.notUntil = now.Add(max(p.wait, firstPullWait*interval))
	return true
}

func (p *pullState) done(useful bool, now time.Time, interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.differed = 0
	if useful {
		p.wait = firstPullWait * interval
	} else {
		p.wait = min(max(2*p.wait, firstPullWait*interval), maxPullIntervals*interval)
	}
	p.notUntil = now.Add(p.wait)
}
