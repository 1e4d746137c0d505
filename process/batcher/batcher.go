package batcher

import (
	"context"
	"sync"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/directory"
)

// Backend carries calls to the servers of a stage. Its methods are called from
// many goroutines.
type Backend interface {
	// Run sends a call and returns one result an item, or Err.
	Run(ctx context.Context, c *Call) Response
	// Free tells a server that results are no longer needed.
	ReleaseResults(ctx context.Context, s *directory.Server, handles []string) error
	// Room asks a server for the most room for results that it may have left, in
	// bytes.
	FreeResultMemory(ctx context.Context, s *directory.Server) (int64, error)
}

// Log receives what a Batcher decides.
type CallLogger interface {
	CallSent(service string, c *Call, waiting int)
	CallEnded(service string, c *Call, took time.Duration, a Response)
}

// Batcher runs the Queue of one service.
type Batcher struct {
	service string
	backend Backend
	clock   clock.Clock
	log     CallLogger
	changed chan struct{}

	mu    sync.Mutex
	queue *Queue
	freed map[string]*freeing // by server id
}

// freeing collects results to be given up at one server.
type freeing struct {
	server  *directory.Server
	handles []string
	bytes   int64
}

// New returns a batcher for a service. Run has to be called.
func New(service string, opts Options, backend Backend, c clock.Clock, log CallLogger) *Batcher {
	return &Batcher{
		service: service, backend: backend, clock: c, log: log, changed: make(chan struct{}, 1),
		queue: NewQueue(opts), freed: map[string]*freeing{},
	}
}

// Configure puts new options and servers in force.
func (b *Batcher) Configure(opts Options, servers []*directory.Server, oneWay func(*directory.Server) time.Duration) {
	b.mu.Lock()
	b.queue.Configure(opts)
	b.queue.SetServers(servers, oneWay)
	b.mu.Unlock()
	b.wake()
}

// Submit adds a job; its Done is called for each item.
func (b *Batcher) Submit(j *Job) {
	b.mu.Lock()
	b.queue.Submit(j, b.clock.Now())
	b.mu.Unlock()
	b.wake()
}

// Cancel drops what still waits of a request.
func (b *Batcher) Cancel(requestID string) {
	b.mu.Lock()
	b.queue.Cancel(requestID)
	b.mu.Unlock()
	b.wake()
}

// Capacity is what the service's servers can do now.
func (b *Batcher) Capacity() Capacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Capacity(b.clock.Now())
}

// Options returns the options in force.
func (b *Batcher) Options() Options {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.opts
}

func (b *Batcher) wake() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// freeEvery is how long freed results are collected: those of one request come
// together, and a server whose room is full waits for them.
const freeEvery = 10 * time.Millisecond

// Run gives out work until ctx ends.
func (b *Batcher) Run(ctx context.Context) error {
	recover := b.clock.Now()
	for {
		now := b.clock.Now()
		b.mu.Lock()
		if now.Sub(recover) >= time.Second {
			b.queue.DecayEstimates()
			recover = now
		}
		if len(b.queue.servers) == 0 {
			b.queue.FailAll(NoServer)
		}
		calls, again := b.queue.NextCalls(now)
		waiting := b.queue.WaitingItems()
		unsure := b.queue.ServersToProbe(now)
		b.mu.Unlock()
		for _, s := range unsure {
			go b.askRoom(ctx, s)
		}
		for _, c := range calls {
			b.log.CallSent(b.service, c, waiting)
			go b.run(ctx, c)
		}
		var timer <-chan time.Time
		if !again.IsZero() {
			timer = b.clock.After(max(again.Sub(now), time.Millisecond))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-b.changed:
		case <-timer:
		}
	}
}

// patience is the least time beyond the expected end before a call is given up
// and its items go to another server: the spread of call times and a lost
// packet's repeat fit into it.
const patience = 250 * time.Millisecond

func (b *Batcher) run(ctx context.Context, c *Call) {
	// Twice the expected time tells a slow or silent server from the ordinary
	// spread; what it still makes is freed when it arrives.
	b.mu.Lock()
	freeAt := c.ExpectedEnd // moves with the end of the call before
	b.mu.Unlock()
	bound := freeAt.Sub(b.clock.Now()) + c.ExpectedDuration + patience
	lost := time.AfterFunc(bound, func() { b.ended(c, Response{Err: context.DeadlineExceeded}, true) })
	a := b.backend.Run(ctx, c)
	lost.Stop()
	b.ended(c, a, a.Err != nil)
}

func (b *Batcher) ended(c *Call, a Response, failed bool) {
	now := b.clock.Now()
	b.mu.Lock()
	already := c.ended
	if failed && !already && !a.Busy {
		c.Server.RecordFailure(now)
	}
	b.queue.CompleteCall(c, a, now)
	b.mu.Unlock()
	b.wake()
	if !already {
		b.log.CallEnded(b.service, c, now.Sub(c.sent), a)
		return
	}
	// The items were given to another server meanwhile: nobody waits for these.
	for _, r := range a.Results {
		if r.Handle != "" {
			b.ReleaseResult(r.ServerID, r.Handle, 0)
		}
	}
}

// Free gives up a result. It returns at once.
func (b *Batcher) ReleaseResult(serverID, handle string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.queue.servers[serverID]
	if s == nil {
		return // the result has gone with its server
	}
	f := b.freed[serverID]
	if f == nil {
		f = &freeing{server: s.Server}
		b.freed[serverID] = f
		time.AfterFunc(freeEvery, func() { b.flush(serverID) })
	}
	f.handles = append(f.handles, handle)
	f.bytes += bytes
}

// roomBound is the time for a server to tell its room; it is asked again soon.
const roomBound = 300 * time.Millisecond

// askRoom asks a server how much of its room is left.
func (b *Batcher) askRoom(ctx context.Context, s *directory.Server) {
	ctx, cancel := context.WithTimeout(ctx, roomBound)
	defer cancel()
	free, err := b.backend.FreeResultMemory(ctx, s)
	now := b.clock.Now()
	b.mu.Lock()
	b.queue.UpdateFreeMemory(s.ID, free, err == nil, now)
	b.mu.Unlock()
	b.wake()
}

// freeBound: a result that could not be freed in this time frees itself soon.
const freeBound = time.Second

func (b *Batcher) flush(serverID string) {
	b.mu.Lock()
	f := b.freed[serverID]
	delete(b.freed, serverID)
	b.mu.Unlock()
	if f == nil {
		return
	}
	// A call that is sent from now on arrives behind the message that frees.
	b.mu.Lock()
	b.queue.ResultsReleased(serverID, f.bytes)
	b.mu.Unlock()
	b.wake()
	ctx, cancel := context.WithTimeout(context.Background(), freeBound)
	defer cancel()
	// A failure only delays the room until the result's own time is over; the
	// backend logs it.
	_ = b.backend.ReleaseResults(ctx, f.server, f.handles)
}
