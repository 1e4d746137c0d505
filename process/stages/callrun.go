package stages

import (
	"context"
	"errors"
	"time"

	"bilberrydale/process/peer"
)

// runForRefusal records that an incarnation of a host has no handler for methodRunFor and accepted
// methodRun.
type runForRefusal struct {
	incarnation uint64
	until       time.Time // when methodRunFor is tried again
}

// refusalTTL is how long methodRunFor is not tried after a refusal. A host of a build that lacks the
// method costs one refused message in this time.
const refusalTTL = time.Minute

// callRun asks another host once to run the work of a request: by methodRunFor, or by methodRun if the
// host has no handler for that. The error is that of Link.Call.
func (p *Pool) callRun(ctx context.Context, owner string, r *Request) (response runResponse, err error) {
	if p.acceptsRunFor(owner) {
		err = p.link.Call(ctx, owner, methodRunFor, p.newAccountRunRequest(r), &response)
		if !errors.Is(err, peer.ErrNoHandler) || ctx.Err() != nil {
			return response, err
		}
		response = runResponse{}
	}
	tried := err != nil
	if err = p.link.Call(ctx, owner, methodRun, p.newRunRequest(r), &response); err == nil && tried {
		p.recordRunForRefusal(owner)
	}
	return response, err
}

// acceptsRunFor reports whether methodRunFor is worth a try at the incarnation of a host that responded
// last.
func (p *Pool) acceptsRunFor(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	refused, ok := p.refusedRunFor[host]
	return !ok || refused.incarnation != p.confirmedIncarnations[host] || !p.clock.Now().Before(refused.until)
}

// recordRunForRefusal records that a host refused methodRunFor and accepted methodRun.
func (p *Pool) recordRunForRefusal(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusedRunFor[host] = runForRefusal{p.confirmedIncarnations[host], p.clock.Now().Add(refusalTTL)}
}
