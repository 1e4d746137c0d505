package membership

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bilberrydale/process/peer"
)

// heartbeat is both the request and the response of one exchange.
type heartbeat struct {
	Draining    bool   // the sender takes no new requests
	Hash        uint64 // of the hosts that are not gone for the sender
	Updates     []memberUpdate
	Attachments []attachedData
}

// attachedData is the data of one attachment in a heartbeat.
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
	// maxUpdates bounds the updates that are applied from one heartbeat or member
	// list; the others are ignored.
	maxUpdates = 8192
)

// Attach adds a small payload to every heartbeat and heartbeat response. Other
// hosts pass it to the consume function of the same name. produce returns nil if
// there is nothing to send; data above 2 KiB is not sent. consume must return
// soon and must not retain data. Attach must be called before Run.
func (m *Monitor) Attach(name string, produce func() []byte, consume func(from peer.Identity, data []byte)) {
	m.attachments = append(m.attachments, attachment{name, produce, consume})
}

// buildHeartbeat returns the next heartbeat. Each call counts down the remaining
// heartbeats of the updates that it includes.
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
	start := time.Now()
	hb := m.buildHeartbeat()
	m.Counters.BusyNanos.Add(int64(time.Since(start)))
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

// handleHeartbeat applies the heartbeat of a peer and returns this host's. It
// returns errOldIncarnation if a newer incarnation of the peer is known.
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
	start := time.Now()
	defer func() { m.Counters.BusyNanos.Add(int64(time.Since(start))) }()
	now := m.opts.Clock.Now()
	m.opts.Link.AddPeer(from)
	m.recordContact(from, hb.Draining, now)
	m.applyUpdates(hb.Updates, now)
	for _, d := range hb.Attachments {
		for _, a := range m.attachments {
			if a.name == d.Name {
				a.consume(from, d.Data)
			}
		}
	}
	if m.pull.shouldPull(hb.Hash == m.current.Load().hash, now, m.opts.Interval) {
		m.startTask(func() { m.pullMembers(from.Host) })
	}
}

// applyUpdates applies gossip and checks the hosts that it reports as unresponsive.
func (m *Monitor) applyUpdates(updates []memberUpdate, now time.Time) {
	if len(updates) > maxUpdates {
		updates = updates[:maxUpdates]
	}
	for _, u := range updates {
		if !u.Unresponsive {
			m.opts.Link.AddPeer(u.Identity)
		}
	}
	for _, host := range m.applyGossip(updates, now, m.recentContact()) {
		m.startTask(func() { m.check(host) })
	}
}

// handleMembers returns the hosts that are not gone for this host.
func (m *Monitor) handleMembers(context.Context, peer.Identity, []byte) ([]byte, error) {
	return peer.Marshal(m.liveMembers())
}

// fetchMembers requests the list of live hosts from host and applies it.
func (m *Monitor) fetchMembers(host string) error {
	ctx, cancel := context.WithTimeout(m.ctx, m.opts.Timeout)
	defer cancel()
	var members []memberUpdate
	if err := m.opts.Link.Call(ctx, host, MethodMembers, nil, &members); err != nil {
		return err
	}
	m.Counters.Pulls.Add(1)
	m.applyUpdates(members, m.opts.Clock.Now())
	return nil
}

// pullMembers fetches the member list of host and records whether it changed
// anything.
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
	mu         sync.Mutex    // guards the fields below
	mismatches int           // consecutive heartbeats with a different hash
	nextPull   time.Time     // no pull before this time
	backoff    time.Duration // between pulls; 0 before the first one
}

const (
	mismatchesBeforePull = 5   // consecutive heartbeats with a different hash
	minPullIntervals     = 5   // heartbeat intervals between pulls
	maxPullIntervals     = 300 // upper bound after pulls without effect
)

// shouldPull records whether the hash of a heartbeat equals that of this host and
// reports whether to pull now.
func (p *pullState) shouldPull(hashesEqual bool, now time.Time, interval time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if hashesEqual {
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

// recordPull sets the time of the next pull after one that ended; changed reports
// whether it changed the membership.
func (p *pullState) recordPull(changed bool, now time.Time, interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mismatches = 0
	if changed {
		p.backoff = minPullIntervals * interval
	} else {
		p.backoff = min(max(2*p.backoff, minPullIntervals*interval), maxPullIntervals*interval)
	}
	p.nextPull = now.Add(p.backoff)
}
