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
	link        Link
	clock       clock.Clock
	coordinator *Coordinator
	log         PoolLog
	// region returns the region whose hosts do the work of requests that run in
	// a failure domain; empty: any host may.
	region func(domain string) string

	reportedWaits atomic.Pointer[map[string]reportedWait] // by region; copied on change

	mu                    sync.Mutex
	suspects              map[string]suspect
	confirmedIncarnations map[string]uint64       // incarnations of hosts that have answered
	leftIncarnations      map[string]uint64       // incarnations of hosts that stop
	remoteWork            map[workKey]*remoteWork // work for other hosts
	leaving               bool                    // this host stops
	peersKnown            chan struct{}           // closed once the other hosts are known
	loggedOwners          map[string]string       // owner that was logged, by region
	pendingNotices        []cachedPrefix          // not yet told to other regions
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
		link: link, clock: c, coordinator: local, region: region, log: log,
		suspects: map[string]suspect{}, confirmedIncarnations: map[string]uint64{}, leftIncarnations: map[string]uint64{}, remoteWork: map[workKey]*remoteWork{}, loggedOwners: map[string]string{}, peersKnown: make(chan struct{}),
	}
	p.reportedWaits.Store(&map[string]reportedWait{})
	link.Handle(methodRun, p.serveRun)
	link.Handle(methodCancel, p.serveCancel)
	link.Handle(methodFree, p.serveFree)
	link.Handle(methodLeave, p.serveLeave)
	link.Handle(methodCachedPrefixes, p.serveCachedPrefixes)
	local.announcePrefix = p.queuePrefixNotice
	link.Handle(methodHello, func(context.Context, peer.Identity, []byte) ([]byte, error) { return peer.Marshal(nil) })
	return p
}

// Run has the stage work of a request done. The error is an *Error or ctx's.
func (p *Pool) Run(ctx context.Context, r *Request) (Results, error) {
	if err := p.waitForPeers(ctx); err != nil {
		return Results{}, err
	}
	region := p.region(r.RunDomain)
	for range maxOwnerAttempts {
		owner := p.findOwner(ctx, region, r.AllowedRegions)
		if owner == "" {
			break
		}
		a, err := p.runAtOwner(ctx, owner, r)
		if ctx.Err() != nil {
			p.cancelAtOwner(owner, r)
			return Results{}, ctx.Err()
		}
		if err != nil {
			p.markSuspect(owner, err)
			continue
		}
		p.clearSuspect(owner)
		p.recordWait(region, time.Duration(a.MeanWaitMS)*time.Millisecond)
		switch a.Reason {
		case "":
			return Results{Inputs: a.Inputs, Owner: owner, TargetID: a.TargetID, FetchFrom: a.FetchFrom, RequestID: r.ID, Round: r.Round}, nil
		case reasonMoved:
			p.markLeft(owner) // its answer came before its notice
		default:
			return Results{}, &Error{Stage: a.Stage, Reason: a.Reason, RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond}
		}
	}
	made, err := p.coordinator.Run(ctx, r)
	p.recordWait(region, p.coordinator.MeanWait())
	return made, err
}

// A connection that breaks says little of the host: it is asked again, on a new
// one, for the time of a few resets. One that is gone refuses connections or
// does not answer within that time.
const (
	ownerRetryWindow = 300 * time.Millisecond
	ownerRetryPause  = 40 * time.Millisecond
)

// ask gives the work to a host.
func (p *Pool) runAtOwner(ctx context.Context, owner string, r *Request) (a runResponse, err error) {
	failing := time.Time{}
	for {
		a = runResponse{}
		began := p.clock.Now()
		err = p.link.Call(ctx, owner, methodRun, p.newRunRequest(r), &a)
		if err == nil || ctx.Err() != nil || errors.Is(err, peer.ErrRefused) {
			return a, err
		}
		if failing.IsZero() {
			failing = began
			if errors.Is(err, peer.ErrNoAnswer) {
				failing = p.clock.Now() // it was there until now
			}
		}
		if p.clock.Now().Sub(failing) >= ownerRetryWindow {
			return a, err
		}
		select {
		case <-p.clock.After(ownerRetryPause):
		case <-ctx.Done():
			return a, ctx.Err()
		}
	}
}

// Waiting returns the number of requests that wait here for their stage work to
// begin, and of those that are late already.
func (p *Pool) Waiting() (onTime, late int) { return p.coordinator.Waiting() }

// tell sends something that may be lost: who misses it finds out by the
// platform's list.
func (p *Pool) notify(host string, m peer.Method) { p.sendAsync(host, m, nil) }

func (p *Pool) sendAsync(host string, m peer.Method, what any) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), notifyTimeout)
		defer stop()
		_ = p.link.Call(ctx, host, m, what, nil)
	}()
}

// tellBound is the time to tell another host something that may be lost.
const notifyTimeout = time.Second

func (p *Pool) cancelAtOwner(owner string, r *Request) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), notifyTimeout)
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
	work := p.remoteWork[workKey{q.ID, q.Round}]
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
		p.coordinator.releaseResults(m)
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), notifyTimeout)
		defer stop()
		if err := p.link.Call(ctx, m.Owner, methodFree, m, nil); err != nil {
			p.coordinator.freeInputs(m.Inputs...)
		}
	}()
}

func (p *Pool) serveFree(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var m Results
	if err := peer.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	p.coordinator.releaseResults(m)
	return peer.Marshal(nil)
}
