package report

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/peer"
	"bilberrydale/process/server"
)

// MethodLoads carries a batch of load reports to the peers of the domain.
const MethodLoads peer.Method = "loads"

// loadRow is one server's load. Server is a hash of its address; models and
// role change rarely and are sent rarely.
type loadRow struct {
	Server  uint32
	Running uint32
	Queued  uint32
	Detail  *detail
}

type detail struct {
	Slots  int
	Models []string
	Role   string
}

const (
	detailEvery = 10 // shares between details, for hosts that missed one
	maxRows     = 4096
)

func rowKey(address string) uint32 { return uint32(xxhash.Sum64String(address)) }

// share sends the reports that this host polled as first owner to the peers of
// its domain. The time to the next share grows with the bytes, so that a large
// domain gets older reports rather than more traffic.
func (w *Poller) share(ctx context.Context, hosts []string, now time.Time) {
	rows := w.rows(now)
	if len(rows) == 0 || len(hosts) < 2 {
		return
	}
	data, err := peer.Marshal(rows)
	if err != nil {
		return
	}
	sent := len(data) * (len(hosts) - 1)
	w.mu.Lock()
	w.shareAt = now.Add(time.Duration(sent) * time.Second / time.Duration(w.opts.ShareBytesPerSecond))
	w.mu.Unlock()
	w.Counters.LoadsShared.Add(int64(len(hosts) - 1))
	w.Counters.LoadsSharedBytes.Add(int64(sent))
	ctx, cancel := context.WithTimeout(ctx, w.opts.Interval)
	defer cancel()
	var calls sync.WaitGroup
	for _, h := range hosts {
		if h != w.opts.Link.Self().Host {
			calls.Go(func() { _ = w.opts.Link.Call(ctx, h, MethodLoads, rows, nil) })
		}
	}
	calls.Wait()
}

func (w *Poller) rows(now time.Time) []loadRow {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Before(w.shareAt) {
		return nil
	}
	w.sends++
	var out []loadRow
	for address, k := range w.known {
		if !k.polled || !k.first {
			continue
		}
		row := loadRow{Server: rowKey(address), Running: uint32(k.report.Running), Queued: uint32(k.report.Queued)}
		if k.detail || w.sends%detailEvery == 1 {
			row.Detail = &detail{k.report.Slots, k.report.Models, k.report.Role}
		}
		k.polled, k.detail = false, false
		out = append(out, row)
	}
	return out
}

func (w *Poller) onLoads(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var rows []loadRow
	if err := peer.Unmarshal(payload, &rows); err != nil {
		return nil, fmt.Errorf("decode loads: %w", err)
	}
	if len(rows) > maxRows {
		return nil, fmt.Errorf("%d loads in one batch", len(rows))
	}
	now := w.opts.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, row := range rows {
		if k := w.byRow[row.Server]; k != nil {
			k.take(row, now)
		}
	}
	return nil, nil
}

// take stores a shared load; without a detail the earlier one still holds.
func (k *known) take(row loadRow, now time.Time) {
	next := server.Load{Received: now, Running: int(row.Running), Queued: int(row.Queued)}
	if old := k.target.State.Load(); old != nil {
		next.Slots, next.Models, next.Role = old.Slots, old.Models, old.Role
	}
	if d := row.Detail; d != nil {
		next.Slots, next.Models, next.Role = d.Slots, d.Models, d.Role
	}
	k.target.State.SetLoad(&next)
}
