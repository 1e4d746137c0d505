package batcher

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// Methods between hosts.
const (
	methodRun    peer.Method = "batch.run"
	methodCancel peer.Method = "batch.cancel"
	methodFree   peer.Method = "batch.free"
)

// runRequest asks for all items of one stage of one request.
type runRequest struct {
	Service   string
	Items     []Item
	Domain    string
	AimMS     int64 // from now
	DieMS     int64
	Worth     float64
	ItemBytes int64
}

type runAnswer struct{ Results []Result }

type cancelRequest struct{ Service, RequestID string }

type freeRequest struct {
	Service  string
	ServerID string
	Handles  []string
	Bytes    int64 // of all
}

// Pool finds the host that collects the items of a service, and collects those
// of other hosts itself. All hosts agree on it by hashing, without an election;
// while they disagree, several collect, which costs fuller calls and nothing
// else.
type Pool struct {
	link  peer.Link
	clock clock.Clock
	// local returns the batcher of a service on this host, or nil.
	local func(service string) *Batcher

	mu       sync.Mutex
	suspects map[string]suspect
}

// suspect is a peer that did not answer.
type suspect struct {
	until    time.Time
	failures int
}

// NewPool returns a pool and registers its handlers with the link.
func NewPool(link peer.Link, c clock.Clock, local func(service string) *Batcher) *Pool {
	p := &Pool{link: link, clock: c, local: local, suspects: map[string]suspect{}}
	link.Handle(methodRun, p.serveRun)
	link.Handle(methodCancel, p.serveCancel)
	link.Handle(methodFree, p.serveFree)
	return p
}

// Made are the results of a stage, and the host that knows of them.
type Made struct {
	Results   []Result
	Owner     string // empty: this host
	Service   string
	ItemBytes int64
}

// errNoBatcher: the service is not known here (yet).
var errNoBatcher = errors.New("batcher: no such service")

// Run has the items of a job made and returns when all have their outcome or
// ctx ends.
func (p *Pool) Run(ctx context.Context, service string, j Job) (Made, error) {
	made := Made{Service: service, ItemBytes: j.ItemBytes}
	for range maxOwners {
		owner := p.owner(service)
		if owner == "" {
			break
		}
		var answer runAnswer
		err := p.link.Call(ctx, owner, methodRun, p.request(service, j), &answer)
		if err == nil && len(answer.Results) == len(j.Items) {
			p.trust(owner)
			made.Results, made.Owner = answer.Results, owner
			return made, nil
		}
		if ctx.Err() != nil {
			p.cancel(owner, service, j.Items[0].RequestID)
			return made, ctx.Err()
		}
		p.distrust(owner)
	}
	results, err := p.runLocal(ctx, service, j)
	made.Results = results
	return made, err
}

// maxOwners bounds the peers that are tried before this host collects itself.
const maxOwners = 2

func (p *Pool) request(service string, j Job) runRequest {
	now := p.clock.Now()
	return runRequest{
		Service: service, Items: j.Items, Domain: j.Domain, Worth: j.Worth, ItemBytes: j.ItemBytes,
		AimMS: j.AimBy.Sub(now).Milliseconds(), DieMS: j.DieBy.Sub(now).Milliseconds(),
	}
}

func (p *Pool) runLocal(ctx context.Context, service string, j Job) ([]Result, error) {
	b := p.local(service)
	if b == nil {
		return nil, errNoBatcher
	}
	results := make([]Result, len(j.Items))
	done := make(chan struct{})
	var mu sync.Mutex
	left, over := len(j.Items), false
	j.Done = func(i int, r Result) {
		mu.Lock()
		defer mu.Unlock()
		if over && r.Handle != "" {
			go b.Free(r.ServerID, r.Handle, j.ItemBytes)
		}
		results[i] = r
		if left--; left == 0 {
			close(done)
		}
	}
	b.Submit(&j)
	select {
	case <-done:
		return results, nil
	case <-ctx.Done():
	}
	mu.Lock()
	over = true
	for _, r := range results {
		if r.Handle != "" {
			go b.Free(r.ServerID, r.Handle, j.ItemBytes)
		}
	}
	mu.Unlock()
	b.Cancel(j.Items[0].RequestID)
	return nil, ctx.Err()
}

func (p *Pool) serveRun(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var r runRequest
	if err := peer.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	if len(r.Items) == 0 {
		return nil, errors.New("batcher: a job without items")
	}
	now := p.clock.Now()
	results, err := p.runLocal(ctx, r.Service, Job{
		Items: r.Items, Domain: r.Domain, Worth: r.Worth, ItemBytes: r.ItemBytes,
		AimBy: now.Add(time.Duration(r.AimMS) * time.Millisecond),
		DieBy: now.Add(time.Duration(r.DieMS) * time.Millisecond),
	})
	if err != nil {
		return nil, err
	}
	return peer.Marshal(runAnswer{results})
}

// cancelBound is the time to tell another host something that may be lost.
const cancelBound = time.Second

func (p *Pool) cancel(owner, service, requestID string) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelBound)
		defer stop()
		// If it is lost, the items are made in vain and free themselves.
		_ = p.link.Call(ctx, owner, methodCancel, cancelRequest{service, requestID}, nil)
	}()
}

func (p *Pool) serveCancel(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var r cancelRequest
	if err := peer.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	if b := p.local(r.Service); b != nil {
		b.Cancel(r.RequestID)
	}
	return peer.Marshal(nil)
}

// Free gives up results that are no longer needed. It returns at once.
func (p *Pool) Free(m Made) {
	byServer := map[string][]string{}
	for _, r := range m.Results {
		if r.Handle != "" {
			byServer[r.ServerID] = append(byServer[r.ServerID], r.Handle)
		}
	}
	for id, handles := range byServer {
		p.free(m.Owner, freeRequest{m.Service, id, handles, m.ItemBytes * int64(len(handles))})
	}
}

func (p *Pool) free(owner string, r freeRequest) {
	if owner == "" {
		p.freeLocal(r)
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelBound)
		defer stop()
		if err := p.link.Call(ctx, owner, methodFree, r, nil); err != nil {
			p.freeLocal(r)
		}
	}()
}

func (p *Pool) freeLocal(r freeRequest) {
	b := p.local(r.Service)
	if b == nil {
		return
	}
	for _, h := range r.Handles {
		b.Free(r.ServerID, h, r.Bytes/int64(len(r.Handles)))
	}
}

func (p *Pool) serveFree(_ context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var r freeRequest
	if err := peer.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	p.freeLocal(r)
	return peer.Marshal(nil)
}

// owner returns the host that collects the items of a service; empty: this one.
func (p *Pool) owner(service string) string {
	type scored struct {
		host  string
		score uint64
	}
	self := p.link.Self().Host
	list := []scored{{self, score(service, self)}}
	for _, id := range p.link.Peers() {
		list = append(list, scored{id.Host, score(service, id.Host)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].score > list[j].score })
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range list {
		if s.host == self {
			return ""
		}
		if now.After(p.suspects[s.host].until) {
			return s.host
		}
	}
	return ""
}

func score(service, host string) uint64 { return xxhash.Sum64String(service + "\x00" + host) }

// Bounds of the time for which a peer that did not answer is passed over. The
// first is about a restart; the last bounds what it costs to try a dead one.
const (
	minSuspect = 500 * time.Millisecond
	maxSuspect = 8 * time.Second
)

func (p *Pool) distrust(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspects[host]
	s.failures = min(s.failures+1, 8)
	s.until = p.clock.Now().Add(min(minSuspect<<(s.failures-1), maxSuspect))
	p.suspects[host] = s
}

func (p *Pool) trust(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.suspects, host)
}
