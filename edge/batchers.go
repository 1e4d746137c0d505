package edge

import (
	"context"
	"errors"
	"io"
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

// batchers holds one batcher for each service that runs stages.
type batchers struct {
	host          *Host
	mu            sync.RWMutex                // guards byService, plan, ctx and group
	byService     map[string]*batcher.Batcher // by service name
	plan          *plan.Plan                  // active plan; nil before setPlan
	ctx           context.Context             // context of the batchers' goroutines; nil before start
	group         *errgroup.Group             // of the batchers' goroutines; nil before start
	splitByRegion atomic.Bool                 // each region coordinates its own stage work
	// ready is set once the batchers are configured with a plan and servers.
	ready atomic.Bool
}

// newBatchers returns the batchers of a host, which do nothing before start and setPlan.
func newBatchers(h *Host) *batchers {
	return &batchers{host: h, byService: map[string]*batcher.Batcher{}}
}

// get returns the batcher of a service, or nil if the service runs no stages.
func (b *batchers) get(service string) *batcher.Batcher {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.byService[service]
}

// start runs the batchers, also those created later, as goroutines of g until ctx ends.
func (b *batchers) start(ctx context.Context, g *errgroup.Group) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ctx, b.group = ctx, g
	b.configure()
}

// setPlan configures the batchers for a plan. It has to be called before requests
// use the plan: a request in between would find no batcher for a new service and
// be refused although the service has servers.
func (b *batchers) setPlan(p *plan.Plan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.plan = p
	b.configure()
}

// updateServers configures the batchers for the directory's current servers.
func (b *batchers) updateServers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configure()
}

// configure creates missing batchers and configures all of them for the current
// plan and servers. The caller holds b.mu.
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
			ResultMemoryBytes: batch.ResultMemoryBytes, ResultTTL: batch.ResultTTL, Limits: b.host.serverLimits.Sole(),
		}
		serviceBatcher := b.byService[name]
		if serviceBatcher == nil {
			serviceBatcher = batcher.New(name, opts, (*stageBackend)(b.host), b.host.clock, b.host)
			b.byService[name] = serviceBatcher
			ctx := b.ctx
			b.group.Go(func() error { return serviceBatcher.Run(ctx) })
		}
		serviceBatcher.Configure(opts, b.assignableServers(view, name), func(s *directory.Server) time.Duration { return b.host.delayTo(s.Domain) })
	}
	if view.Count() > 0 {
		b.ready.Store(true)
	}
}

// stageBackend sends the batchers' calls to backend servers. It implements
// batcher.Backend.
type stageBackend Host

// Limits of stage calls.
const (
	// stageCallTimeout is how long the response to a call is awaited. Requests stop
	// waiting for it much earlier; late results are still received, so that they can be
	// released on the server.
	stageCallTimeout = 10 * time.Second
	// maxStageResponseBytes is the size beyond which a response is cut off, and
	// maxStageResultBytes what each item adds to it.
	maxStageResponseBytes = 64 << 10
	maxStageResultBytes   = 1 << 10
)

// Run implements batcher.Backend. A call that failed may nevertheless have run on the
// server.
func (b *stageBackend) Run(ctx context.Context, call *batcher.Call) batcher.Response {
	ctx, cancel := context.WithTimeout(ctx, stageCallTimeout)
	defer cancel()
	request, err := platform.NewStageRunRequest(call, b.clock.Now())
	if err != nil {
		return batcher.Response{Err: err}
	}
	response, err := b.serverClient.Do(ctx, call.Server.Address, request)
	if err != nil {
		var upstreamErr *upstream.Error
		return batcher.Response{Err: err, Busy: errors.As(err, &upstreamErr) && upstreamErr.Withheld}
	}
	body, err := io.ReadAll(io.LimitReader(response, maxStageResponseBytes+int64(len(call.Items))*maxStageResultBytes))
	if err != nil {
		response.Discard()
		return batcher.Response{Err: err}
	}
	response.Close()
	if head := (platform.Headers{}).DecodeServerResponse(response.Status, response.Header, b.clock.Now()); head.NoRoom() || head.Pause > 0 {
		return batcher.Response{Err: errServerBusy, Busy: true}
	}
	results, err := platform.DecodeStageRunResponse(response.Status, body, call.Server, len(call.Items))
	if err != nil {
		return batcher.Response{Err: err}
	}
	call.Server.RecordSuccess()
	return batcher.Response{Results: results}
}

// errServerBusy is the result of a call that the server refused because of its load.
var errServerBusy = errors.New("backend server refused the stage call: too much load")

// FreeResultMemory implements batcher.Backend. It returns the largest number of bytes that may
// be free.
func (b *stageBackend) FreeResultMemory(ctx context.Context, s *directory.Server) (int64, error) {
	response, err := b.serverClient.Do(ctx, s.Address, platform.NewStageReportRequest(s.ID))
	if err != nil {
		b.log.Warn("stage server", "outcome", "did not tell its room", "server", s.ID, "err", err)
		return 0, err
	}
	freeBytes, err := readFreeBytes(response)
	if err != nil {
		b.log.Warn("stage server", "outcome", "did not tell its room", "server", s.ID, "err", err)
		return 0, err
	}
	if b.logLimits.allow(false, b.clock.Now()) {
		b.log.Info("stage server", "outcome", "told its room", "server", s.ID, "free_bytes_at_most", freeBytes)
	}
	return freeBytes, nil
}

// readFreeBytes reads and closes the response to a status report request, and returns the
// largest number of bytes of result memory that may be free.
func readFreeBytes(response *upstream.Response) (int64, error) {
	body, err := io.ReadAll(io.LimitReader(response, maxStageResponseBytes))
	if err != nil {
		response.Discard()
		return 0, err
	}
	response.Close()
	return platform.DecodeStageReport(response.Status, body)
}

// ReleaseResults implements batcher.Backend. It does not check the status of the response.
func (b *stageBackend) ReleaseResults(ctx context.Context, s *directory.Server, handles []string) error {
	request, err := platform.NewStageFreeRequest(s.ID, handles)
	if err != nil {
		return err
	}
	response, err := b.serverClient.Do(ctx, s.Address, request)
	if err != nil {
		b.log.Warn("results not freed", "server", s.ID, "results", len(handles), "err", err)
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(response, maxStageResponseBytes))
	response.Close()
	return err
}
