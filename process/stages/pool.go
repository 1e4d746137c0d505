package stages

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
	"bilberrydale/process/spill"
)

// Pool finds the owner, the host that runs stage work for a region, and serves other hosts
// when this host is the owner. The owner is the first host by peer.Outranks: all hosts compute
// it without an election, and a returning host does not take the work away from an equally
// strong one. While hosts disagree, several of them run stage work. That causes less full
// calls and some refusals by busy servers, but no wrong result.
type Pool struct {
	link        Link
	clock       clock.Clock
	coordinator *Coordinator
	log         PoolLog
	// regionOfDomain returns the region whose hosts run the stage work of requests whose
	// RunDomain is the given failure domain; empty: one owner runs the work of all regions.
	regionOfDomain func(domain string) string

	waits spill.Reports // expected waits for admission, as the owners of regions told them last

	mu                    sync.Mutex               // guards the fields below, except that peersKnown may be read without it
	suspects              map[string]suspect       // by host name; hosts that did not respond
	confirmedIncarnations map[string]uint64        // by host name; incarnations that have responded
	leavingIncarnations   map[string]uint64        // by host name; incarnations that are shutting down
	refusedRunFor         map[string]runForRefusal // by host name; hosts that run work only by methodRun
	remoteWork            map[workKey]*remoteWork  // work for other hosts
	leaving               bool                     // this host is shutting down
	peersKnown            chan struct{}            // closed once the other hosts are known
	loggedOwners          map[string]string        // last logged owner by region
	pendingNotices        []cachedPrefix           // not yet sent to other regions
}

// Link is the connection to the other hosts.
type Link interface {
	peer.Link
	// Connected returns the names of the hosts with an open connection.
	Connected() []string
}

// PoolLog receives changes of owners.
type PoolLog interface {
	// OwnerChanged reports a new owner of a region's stage work; host is this host's
	// own name if it is the owner.
	OwnerChanged(region, host string, incarnation uint64)
	// OwnerFailed reports that a host did not respond and is skipped for the given time.
	OwnerFailed(host string, skipped time.Duration, err error)
}

// NewPool returns a pool that runs its own work on local, and registers its handlers with the
// link. region returns the region whose hosts run the stage work of a failure domain; empty: any
// host may run it.
func NewPool(link Link, c clock.Clock, local *Coordinator, region func(domain string) string, log PoolLog) *Pool {
	p := &Pool{
		link: link, clock: c, coordinator: local, regionOfDomain: region, log: log,
		suspects: map[string]suspect{}, confirmedIncarnations: map[string]uint64{}, leavingIncarnations: map[string]uint64{}, refusedRunFor: map[string]runForRefusal{}, remoteWork: map[workKey]*remoteWork{}, loggedOwners: map[string]string{}, peersKnown: make(chan struct{}),
	}
	link.Handle(methodRun, p.serveRun)
	link.Handle(methodRunFor, p.serveRunFor)
	link.Handle(methodCancel, p.serveCancel)
	link.Handle(methodFree, p.serveFree)
	link.Handle(methodLeave, p.serveLeave)
	link.Handle(methodCachedPrefixes, p.serveCachedPrefixes)
	local.announcePrefix = p.queuePrefixNotice
	link.Handle(methodHello, func(context.Context, peer.Identity, []byte) ([]byte, error) { return peer.Marshal(nil) })
	return p
}

// Run runs the stage work of a request on its owner, or on this host if no owner responds. The
// caller has to pass the results to Free. The error is an *Error or ctx's; the caller has
// nothing to free then.
func (p *Pool) Run(ctx context.Context, r *Request) (Results, error) {
	if err := p.waitForPeers(ctx); err != nil {
		return Results{}, err
	}
	region := p.regionOfDomain(r.RunDomain)
	for range maxOwnerAttempts {
		owner := p.findOwner(ctx, region, r.AllowedRegions)
		if owner == "" {
			break
		}
		response, err := p.runAtOwner(ctx, owner, r)
		if ctx.Err() != nil {
			p.cancelAtOwner(owner, r)
			return Results{}, ctx.Err()
		}
		if err != nil {
			p.markSuspect(owner, err)
			continue
		}
		p.clearSuspect(owner)
		p.waits.Record(region, r.Priority, time.Duration(response.ExpectedWaitMS)*time.Millisecond, p.clock.Now())
		switch response.Reason {
		case "":
			return Results{Inputs: response.Inputs, Owner: owner, TargetID: response.TargetID, FetchFrom: response.FetchFrom, RequestID: r.ID, Round: r.Round}, nil
		case reasonMoved:
			p.markLeaving(owner) // the response arrived before the shutdown notice
		default:
			return Results{}, &Error{Stage: response.Stage, Reason: response.Reason, RetryAfter: time.Duration(response.RetryAfterMS) * time.Millisecond}
		}
	}
	results, err := p.coordinator.Run(ctx, r)
	p.waits.Record(region, r.Priority, p.coordinator.ExpectedWait(r.Priority), p.clock.Now())
	return results, err
}

// A broken connection is weak evidence of a failed host: the call is retried on a new
// connection for the time of a few resets. A failed host refuses the new one, or does not
// respond within ownerRetryWindow.
const (
	ownerRetryWindow = 300 * time.Millisecond
	ownerRetryPause  = 40 * time.Millisecond
)

// runAtOwner runs the work on another host and retries after connection errors for up to
// ownerRetryWindow. A nil error means that the host has responded; the response may still hold a
// reason for a failure. After an error the owner may be running the work.
func (p *Pool) runAtOwner(ctx context.Context, owner string, r *Request) (response runResponse, err error) {
	failingSince := time.Time{}
	for {
		callStart := p.clock.Now()
		response, err = p.callRun(ctx, owner, r)
		if err == nil || ctx.Err() != nil || errors.Is(err, peer.ErrFailureResponse) {
			return response, err
		}
		if failingSince.IsZero() {
			failingSince = callStart
			if errors.Is(err, peer.ErrNoResponse) {
				failingSince = p.clock.Now() // the host was reachable until now
			}
		}
		if p.clock.Now().Sub(failingSince) >= ownerRetryWindow || errors.Is(err, syscall.ECONNREFUSED) {
			return response, err
		}
		select {
		case <-p.clock.After(ownerRetryPause):
		case <-ctx.Done():
			return response, ctx.Err()
		}
	}
}

// Waiting returns the number of requests that wait for admission here: those that can still
// meet their target latency, and late ones.
func (p *Pool) Waiting() (onTime, late int) { return p.coordinator.Waiting() }

// Shares returns the shares of client accounts in the services that are short, while this host runs
// their work: those of the most demand, at most maxListedShares a service.
func (p *Pool) Shares() []AccountShare { return p.coordinator.shares() }

// notify sends a message without content that may be lost: a host that misses it finds the change
// in the platform's list.
func (p *Pool) notify(host string, m peer.Method) { p.sendAsync(host, m, nil) }

// sendAsync calls a method of another host in the background and ignores errors.
func (p *Pool) sendAsync(host string, m peer.Method, payload any) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), notifyTimeout)
		defer stop()
		_ = p.link.Call(ctx, host, m, payload, nil)
	}()
}

// notifyTimeout bounds the delivery of a message that may be lost.
const notifyTimeout = time.Second

// cancelAtOwner cancels the work of a request on its owner, in the background.
func (p *Pool) cancelAtOwner(owner string, r *Request) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), notifyTimeout)
		defer stop()
		// If the message is lost, the items run unused and their results expire.
		_ = p.link.Call(ctx, owner, methodCancel, cancelRequest{r.ID, r.Round}, nil)
	}()
}

// serveCancel handles methodCancel. Unknown work is ignored.
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

// Free releases results, once the request has read them or has ended, on the host that ran the
// work. It does not wait for that host. If the call fails, this host frees them at their
// servers itself.
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

// serveFree handles methodFree.
func (p *Pool) serveFree(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var m Results
	if err := peer.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	p.coordinator.releaseResults(m)
	return peer.Marshal(nil)
}
