package stages

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// Pool finds the host that does the stage work, and does that of other hosts.
// It is the first by peer.Before: all see that without an election, and a host
// that comes back does not take the work away from one like it. While hosts
// disagree, several do it, which costs fuller calls and some refusals of busy
// servers, but no wrong result.
type Pool struct {
	link  Link
	clock clock.Clock
	local *Coordinator
	log   PoolLog
	// region returns the region whose hosts do the work of requests that run in
	// a failure domain; empty: any host may.
	region func(domain string) string

	waits atomic.Pointer[map[string]waitNews] // by region; copied on change

	mu       sync.Mutex
	suspects map[string]suspect
	answered map[string]uint64   // incarnations of hosts that have answered
	left     map[string]uint64   // incarnations of hosts that stop
	running  map[workKey]*shared // work for other hosts
	leaving  bool                // this host stops
	met      chan struct{}       // closed once the other hosts are known
	last     map[string]string   // owner that was logged, by region
	news     []heldPart          // not yet told to other regions
}

// Link is what a Pool needs of the peers.
type Link interface {
	peer.Link
	// Connected returns the peers to which there is a connection now.
	Connected() []string
}

// PoolLog receives what a Pool believes.
type PoolLog interface {
	// OwnerChanged tells that another host does the stage work from now on;
	// host is this one's own name if it does it itself.
	OwnerChanged(region, host string, incarnation uint64)
	// OwnerFailed tells that the host did not answer and is passed over.
	OwnerFailed(host string, until time.Duration, err error)
}

// NewPool returns a pool and registers its handlers with the link.
func NewPool(link Link, c clock.Clock, local *Coordinator, region func(domain string) string, log PoolLog) *Pool {
	p := &Pool{
		link: link, clock: c, local: local, region: region, log: log,
		suspects: map[string]suspect{}, answered: map[string]uint64{}, left: map[string]uint64{}, running: map[workKey]*shared{}, last: map[string]string{}, met: make(chan struct{}),
	}
	p.waits.Store(&map[string]waitNews{})
	link.Handle(methodRun, p.serveRun)
	link.Handle(methodCancel, p.serveCancel)
	link.Handle(methodFree, p.serveFree)
	link.Handle(methodLeave, p.serveLeave)
	link.Handle(methodHolds, p.serveHolds)
	local.tell = p.tellHolder
	link.Handle(methodHello, func(context.Context, peer.Identity, []byte) ([]byte, error) { return peer.Marshal(nil) })
	return p
}

// Run has the stage work of a request done. The error is an *Error or ctx's.
func (p *Pool) Run(ctx context.Context, r *Request) (Results, error) {
	if err := p.meet(ctx); err != nil {
		return Results{}, err
	}
	region := p.region(r.RunDomain)
	for range maxOwners {
		owner := p.findOwner(ctx, region, r.AllowedRegions)
		if owner == "" {
			break
		}
		a, err := p.ask(ctx, owner, r)
		if ctx.Err() != nil {
			p.cancel(owner, r)
			return Results{}, ctx.Err()
		}
		if err != nil {
			p.distrust(owner, err)
			continue
		}
		p.trust(owner)
		p.noteWait(region, time.Duration(a.WaitMS)*time.Millisecond)
		switch a.Reason {
		case "":
			return Results{Inputs: a.Inputs, Owner: owner, TargetID: a.Target, FetchFrom: a.Fetch, RequestID: r.ID, Round: r.Round}, nil
		case moved:
			p.setLeft(owner) // its answer came before its notice
		default:
			return Results{}, &Error{Stage: a.Stage, Reason: a.Reason, RetryAfter: time.Duration(a.ReadyMS) * time.Millisecond}
		}
	}
	made, err := p.local.Run(ctx, r)
	p.noteWait(region, p.local.MeanWait())
	return made, err
}

// A connection that breaks says little of the host: it is asked again, on a new
// one, for the time of a few resets. One that is gone refuses connections or
// does not answer within that time.
const (
	ownerTime  = 300 * time.Millisecond
	ownerPause = 40 * time.Millisecond
)

// ask gives the work to a host.
func (p *Pool) ask(ctx context.Context, owner string, r *Request) (a runAnswer, err error) {
	failing := time.Time{}
	for {
		a = runAnswer{}
		began := p.clock.Now()
		err = p.link.Call(ctx, owner, methodRun, p.request(r), &a)
		if err == nil || ctx.Err() != nil || errors.Is(err, peer.ErrRefused) {
			return a, err
		}
		if failing.IsZero() {
			failing = began
			if errors.Is(err, peer.ErrNoAnswer) {
				failing = p.clock.Now() // it was there until now
			}
		}
		if p.clock.Now().Sub(failing) >= ownerTime {
			return a, err
		}
		select {
		case <-p.clock.After(ownerPause):
		case <-ctx.Done():
			return a, ctx.Err()
		}
	}
}

// Waiting returns the number of requests that wait here for their stage work to
// begin, and of those that are late already.
func (p *Pool) Waiting() (onTime, late int) { return p.local.Waiting() }

// tell sends something that may be lost: who misses it finds out by the
// platform's list.
func (p *Pool) tell(host string, m peer.Method) { p.send(host, m, nil) }

func (p *Pool) send(host string, m peer.Method, what any) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), tellBound)
		defer stop()
		_ = p.link.Call(ctx, host, m, what, nil)
	}()
}

// tellBound is the time to tell another host something that may be lost.
const tellBound = time.Second

func (p *Pool) cancel(owner string, r *Request) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), tellBound)
		defer stop()
		// If it is lost, the items are made in vain and free themselves.
		_ = p.link.Call(ctx, owner, methodCancel, cancelRequest{r.ID, r.Round}, nil)
	}()
}

func (p *Pool) serveCancel(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var q cancelRequest
	if err := peer.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	p.mu.Lock()
	work := p.running[workKey{q.ID, q.Round}]
	p.mu.Unlock()
	if work != nil {
		work.cancel()
	}
	return peer.Marshal(nil)
}

// Free gives up results that are no longer needed, once the request has read them or
// has ended. It returns at once.
func (p *Pool) Free(m Results) {
	if len(m.Inputs) == 0 && m.TargetID == "" {
		return
	}
	if m.Owner == "" {
		p.local.done(m)
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), tellBound)
		defer stop()
		if err := p.link.Call(ctx, m.Owner, methodFree, m, nil); err != nil {
			p.local.free(m.Inputs...)
		}
	}()
}

func (p *Pool) serveFree(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var m Results
	if err := peer.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	p.local.done(m)
	return peer.Marshal(nil)
}
