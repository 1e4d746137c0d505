package member

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bilberrydale/process/peer"
)

// heartbeat is both the request and the response of one exchange.
type heartbeat struct {
	Draining    bool
	Hash        uint64 // of the hosts that are not gone for the sender
	Updates     []memberUpdate
	Attachments []attachedData
}

// attachedData is the data of one attachment.
type attachedData struct {
	Name string
	Data []byte
}

// attachment is a registered source and consumer of attached data.
type attachment struct {
	name    string
	produce func() []byte
	consume func(from peer.Identity, data []byte)
}

const (
	// maxAttachmentBytes bounds the data of one attachment; larger ones are not
	// sent.
	maxAttachmentBytes = 2 << 10
	maxUpdates         = 8192
)

// Attach adds a small payload to every heartbeat and heartbeat response. Other
// hosts pass it to the consume function of the same name. produce returns nil if
// there is nothing to send; data above 2 KiB is not sent. consume must return
// soon and must not retain data. Attach must be called before Run.
func (m *Monitor) Attach(name string, produce func() []byte, consume func(from peer.Identity, data []byte)) {
	m.attachments = append(m.attachments, attachment{name, produce, consume})
}

func (m *Monitor) buildHeartbeat() *heartbeat {
	s := m.current.Load()
	hb := &heartbeat{Hash: s.hash, Updates: m.pendingUpdates(updatesPerHeartbeat)}
	if m.opts.Draining != nil {
		hb.Draining = m.opts.Draining()
	}
	for _, a := range m.attachments {
		if data := a.produce(); len(data) > 0 && len(data) <= maxAttachmentBytes {
			hb.Attachments = append(hb.Attachments, attachedData{a.name, data})
		}
	}
	return hb
}

// exchangeHeartbeat sends a heartbeat to host and applies the response.
func (m *Monitor) exchangeHeartbeat(host string) error {
	ctx, cancel := context.WithTimeout(m.ctx, m.opts.Timeout)
	defer cancel()
	var response heartbeat
	began := time.Now()
	hb := m.buildHeartbeat()
	m.Counters.BusyNanos.Add(int64(time.Since(began)))
	m.Counters.Sent.Add(1)
	if err := m.opts.Link.Call(ctx, host, MethodHeartbeat, hb, &response); err != nil {
		return err
	}
	p, ok := m.Lookup(host)
	if !ok {
		return nil
	}
	m.applyHeartbeat(p.Identity, &response)
	return nil
}

func (m *Monitor) handleHeartbeat(_ context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var hb heartbeat
	if err := peer.Unmarshal(payload, &hb); err != nil {
		return nil, fmt.Errorf("decode heartbeat: %w", err)
	}
	if known, ok := m.Lookup(from.Host); ok && from.Incarnation < known.Incarnation {
		return nil, errOldIncarnation
	}
	m.Counters.Received.Add(1)
	m.applyHeartbeat(from, &hb)
	return peer.Marshal(m.buildHeartbeat())
}

// applyHeartbeat records the contents of a heartbeat or of its response.
func (m *Monitor) applyHeartbeat(from peer.Identity, hb *heartbeat) {
	began := time.Now()
	defer func() { m.Counters.BusyNanos.Add(int64(time.Since(began))) }()
	now := m.opts.Clock.Now()
	m.opts.Link.AddPeer(from)
	m.recordContact(from, hb.Draining, now)
	m.applyUpdates(hb.Updates, now)
	for _, p := range hb.Attachments {
		for _, a := range m.attachments {
			if a.name == p.Name {
				a.consume(from, p.Data)
			}
		}
	}
	if m.pull.shouldPull(hb.Hash == m.current.Load().hash, now, m.opts.Interval) {
		m.startTask(func() { m.pullMembers(from.Host) })
	}
}

func (m *Monitor) applyUpdates(list []memberUpdate, now time.Time) {
	if len(list) > maxUpdates {
		list = list[:maxUpdates]
	}
	for _, n := range list {
		if !n.Unresponsive {
			m.opts.Link.AddPeer(n.Identity)
		}
	}
	for _, host := range m.applyGossip(list, now, 2*m.opts.Interval) {
		m.startTask(func() { m.check(host) })
	}
}

func (m *Monitor) handleMembers(context.Context, peer.Identity, []byte) ([]byte, error) {
	return peer.Marshal(m.liveMembers())
}

// fetchMembers requests the list of live hosts from host and applies it.
func (m *Monitor) fetchMembers(host string) error {
	ctx, cancel := context.WithTimeout(m.ctx, m.opts.Timeout)
	defer cancel()
	var list []memberUpdate
	if err := m.opts.Link.Call(ctx, host, MethodMembers, nil, &list); err != nil {
		return err
	}
	m.Counters.Pulls.Add(1)
	m.applyUpdates(list, m.opts.Clock.Now())
	return nil
}

func (m *Monitor) pullMembers(host string) {
	before := m.current.Load().hash
	err := m.fetchMembers(host)
	m.pull.recordPull(err == nil && m.current.Load().hash != before, m.opts.Clock.Now(), m.opts.Interval)
}

// pullState decides when to request a peer's full member list. Heartbeats carry
// only recent updates; a host that missed some, for example in a network
// partition, sees a different hash in several heartbeats in a row. Hosts with
// different reachability may disagree for hours, so a pull without effect
// doubles the backoff before the next one.
type pullState struct {
	mu         sync.Mutex
	mismatches int
	nextPull   time.Time
	backoff    time.Duration
}

const (
	mismatchesBeforePull = 5   // consecutive heartbeats with a different hash
	minPullIntervals     = 5   // heartbeat intervals between pulls
	maxPullIntervals     = 300 // upper bound after pulls without effect
)

func (p *pullState) shouldPull(same bool, now time.Time, interval time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if same {
		p.mismatches = 0
		return false
	}
	p.mismatches++
	if p.mismatches < mismatchesBeforePull || now.Before(p.nextPull) {
		return false
	}
	p.nextPull = now.Add(max(p.backoff, minPullIntervals*interval))
	return true
}

func (p *pullState) recordPull(useful bool, now time.Time, interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mismatches = 0
	if useful {
		p.backoff = minPullIntervals * interval
	} else {
		p.backoff = min(max(2*p.backoff, minPullIntervals*interval), maxPullIntervals*interval)
	}
	p.nextPull = now.Add(p.backoff)
}
