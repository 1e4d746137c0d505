package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrydale/connection/upstream"
	"bilberrydale/platform"
	"bilberrydale/process/batcher"
	"bilberrydale/process/directory"
	"bilberrydale/version/plan"
)

// batchers keeps one batcher for each service that stages use.
type batchers struct {
	host          *Host
	mu            sync.RWMutex
	byService     map[string]*batcher.Batcher
	plan          *plan.Plan      // in force here; nil before setPlan
	ctx           context.Context // of the actors; nil before start
	group         *errgroup.Group
	splitByRegion atomic.Bool // stage work is collected in each region by itself
	// ready is set once the batchers run with a plan and servers.
	ready atomic.Bool
}

func newBatchers(h *Host) *batchers {
	return &batchers{host: h, byService: map[string]*batcher.Batcher{}}
}

func (b *batchers) get(service string) *batcher.Batcher {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.byService[service]
}

// start lets batchers run until ctx ends.
func (b *batchers) start(ctx context.Context, g *errgroup.Group) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ctx, b.group = ctx, g
	b.configure()
}

// setPlan puts a plan in force. It is called before requests get the plan: one
// that came between the two would find no batcher for a new service and be
// refused, though the service has servers.
func (b *batchers) setPlan(p *plan.Plan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.plan = p
	b.configure()
}

// updateServers puts the directory's servers in force.
func (b *batchers) updateServers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configure()
}

// configure puts the plan and the servers in force. It is called with b.mu held.
func (b *batchers) configure() {
	p := b.plan
	if p == nil || b.ctx == nil {
		return
	}
	view := b.host.directory.View()
	b.updateSplit(p, view)
	for _, name := range p.ServiceNames() {
		batch := p.Service(name).Batch
		if batch == nil {
			continue
		}
		opts := batcher.Options{
			Slots: batch.ConcurrentCalls, MaxItems: batch.MaxItemsPerCall, CallTime: batch.TimePerCall, ItemTime: batch.TimePerItem,
			ResultMemoryBytes: batch.ResultMemoryBytes, ResultTTL: batch.ResultTTL,
		}
		one := b.byService[name]
		if one == nil {
			one = batcher.New(name, opts, (*stageBackend)(b.host), b.host.clock, b.host)
			b.byService[name] = one
			ctx := b.ctx
			b.group.Go(func() error { return one.Run(ctx) })
		}
		one.Configure(opts, b.assignableServers(view, name), func(s *directory.Server) time.Duration { return b.host.delayTo(s.Domain) })
	}
	if view.Count() > 0 {
		b.ready.Store(true)
	}
}

// stageCalls sends the batchers' calls; it implements batcher.Backend.
type stageBackend Host

// Bounds of stage calls. A call is given up for its requests much sooner; this
// is how long its late results are awaited so that they can be freed.
const (
	stageCallTimeout      = 10 * time.Second
	maxStageResponseBytes = 1 << 20
)

// Run implements batcher.Backend.
func (c *stageBackend) Run(ctx context.Context, call *batcher.Call) batcher.Response {
	ctx, cancel := context.WithTimeout(ctx, stageCallTimeout)
	defer cancel()
	q, err := platform.StageRun(call, c.clock.Now())
	if err != nil {
		return batcher.Response{Err: err}
	}
	answer, err := c.upstream.Do(ctx, call.Server.Address, q)
	if err != nil {
		return batcher.Response{Err: err}
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxStageResponseBytes))
	if err != nil {
		answer.Discard()
		return batcher.Response{Err: err}
	}
	answer.Close()
	c.recordLoad(call.Server, answer.Status, answer.Header)
	if platform.StageBusy(answer.Status, answer.Header) {
		return batcher.Response{Err: errServerBusy, Busy: true}
	}
	results, err := platform.DecodeStageRun(answer.Status, body, call.Server, len(call.Items))
	if err != nil {
		return batcher.Response{Err: err}
	}
	call.Server.RecordSuccess()
	return batcher.Response{Results: results}
}

var errServerBusy = errors.New("the server has too much work")

func (c *stageBackend) recordLoad(s *directory.Server, status int, header http.Header) {
	if head := (platform.Headers{}).DecodeServerResponse(status, header); head.LoadReported {
		s.RecordLoad(head.RunningRequests, head.QueuedRequests, c.clock.Now())
	}
}

// FreeResultMemory implements batcher.Backend.
func (c *stageBackend) FreeResultMemory(ctx context.Context, s *directory.Server) (int64, error) {
	answer, err := c.upstream.Do(ctx, s.Address, platform.StageReport(s.ID))
	if err != nil {
		c.log.Warn("stage server", "outcome", "did not tell its room", "server", s.ID, "err", err)
		return 0, err
	}
	free, err := readFreeBytes(answer)
	if err != nil {
		c.log.Warn("stage server", "outcome", "did not tell its room", "server", s.ID, "err", err)
		return 0, err
	}
	if c.logLimits.allow(false, c.clock.Now()) {
		c.log.Info("stage server", "outcome", "told its room", "server", s.ID, "free_bytes_at_most", free)
	}
	return free, nil
}

func readFreeBytes(answer *upstream.Response) (int64, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxStageResponseBytes))
	if err != nil {
		answer.Discard()
		return 0, err
	}
	answer.Close()
	return platform.DecodeStageReport(answer.Status, body)
}

// ReleaseResults implements batcher.Backend.
func (c *stageBackend) ReleaseResults(ctx context.Context, s *directory.Server, handles []string) error {
	q, err := platform.StageFree(s.ID, handles)
	if err != nil {
		return err
	}
	answer, err := c.upstream.Do(ctx, s.Address, q)
	if err != nil {
		c.log.Warn("results not freed", "server", s.ID, "results", len(handles), "err", err)
		return err
	}
	_, err = io.ReadAll(io.LimitReader(answer, maxStageResponseBytes))
	answer.Close()
	return err
}
