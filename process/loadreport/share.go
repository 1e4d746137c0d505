package loadreport

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/peer"
	"bilberrydale/process/serverstate"
)

// MethodLoads sends a batch of loads to the peers of the domain.
const MethodLoads peer.Method = "loads"

// loadRow is the load of one server. Server is the hash of its address. Details
// change rarely and are sent rarely; nil: unchanged.
type loadRow struct {
	Server  uint32
	Running uint32 // requests being executed
	Queued  uint32 // requests waiting
	Details *loadDetails
}

// loadDetails is the part of a load that rarely changes.
type loadDetails struct {
	Slots  int // requests that the server executes concurrently
	Models []string
	Role   string
}

const (
	sharesPerDetails = 10   // shares between repeated details, for hosts that missed them
	maxRows          = 4096 // bounds the loads that are accepted in one call
)

// addressHash returns the hash by which loadRow names a server.
func addressHash(address string) uint32 { return uint32(xxhash.Sum64String(address)) }

// shareLoads sends the loads that this host polled as first owner to the peers
// of its domain; hosts are the names of all hosts of the domain. The time to the next share grows with the bytes sent, so that a
// larger domain gets older loads instead of more traffic.
func (p *Poller) shareLoads(ctx context.Context, hosts []string, now time.Time) {
	rows := p.loadRows(now)
	if len(rows) == 0 || len(hosts) < 2 {
		return
	}
	data, err := peer.Marshal(rows)
	if err != nil {
		return
	}
	sent := len(data) * (len(hosts) - 1)
	p.mu.Lock()
	p.nextShare = now.Add(time.Duration(sent) * time.Second / time.Duration(p.opts.ShareBytesPerSecond))
	p.mu.Unlock()
	p.Counters.LoadsShared.Add(int64(len(hosts) - 1))
	p.Counters.LoadsSharedBytes.Add(int64(sent))
	ctx, cancel := context.WithTimeout(ctx, p.opts.Interval)
	defer cancel()
	var calls sync.WaitGroup
	for _, h := range hosts {
		if h != p.opts.Link.Self().Host {
			calls.Go(func() { _ = p.opts.Link.Call(ctx, h, MethodLoads, rows, nil) })
		}
	}
	calls.Wait()
}

// loadRows returns the loads to share now and marks them as shared; nil until the
// next share is due.
func (p *Poller) loadRows(now time.Time) []loadRow {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.nextShare) {
		return nil
	}
	p.shareRounds++
	var out []loadRow
	for address, rec := range p.servers {
		if !rec.unshared || !rec.primaryOwner {
			continue
		}
		row := loadRow{Server: addressHash(address), Running: uint32(rec.report.Running), Queued: uint32(rec.report.Queued)}
		if rec.detailsChanged || p.shareRounds%sharesPerDetails == 1 {
			row.Details = &loadDetails{rec.report.Slots, rec.report.Models, rec.report.Role}
		}
		rec.unshared, rec.detailsChanged = false, false
		out = append(out, row)
	}
	return out
}

// handleLoads stores the loads that a peer shares. Those of unknown servers are
// ignored.
func (p *Poller) handleLoads(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var rows []loadRow
	if err := peer.Unmarshal(payload, &rows); err != nil {
		return nil, fmt.Errorf("decode loads: %w", err)
	}
	if len(rows) > maxRows {
		return nil, fmt.Errorf("batch of %d loads exceeds the limit of %d", len(rows), maxRows)
	}
	now := p.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range rows {
		if rec := p.byAddressHash[row.Server]; rec != nil {
			rec.applySharedLoad(row, now)
		}
	}
	return nil, nil
}

// applySharedLoad stores a shared load. Without details the earlier ones remain.
func (rec *serverRecord) applySharedLoad(row loadRow, now time.Time) {
	next := serverstate.Load{Received: now, Running: int(row.Running), Queued: int(row.Queued)}
	if old := rec.target.State.Load(); old != nil {
		next.Slots, next.Models, next.Role = old.Slots, old.Models, old.Role
	}
	if d := row.Details; d != nil {
		next.Slots, next.Models, next.Role = d.Slots, d.Models, d.Role
	}
	rec.target.State.SetLoad(&next)
}
