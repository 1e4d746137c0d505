package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"bilberrydale/internal/relay"
)

// fault is one disturbance; it lasts until it returns.
type fault struct {
	name string
	run  func(p *place, r *rand.Rand, binary string)
}

// some returns a number of requests. Faults last for requests, not for times: on
// a busy machine they meet as many.
func some(r *rand.Rand, least, most int) int { return least + r.IntN(most-least) }

func someTime(r *rand.Rand, least, most int) time.Duration {
	return time.Duration(some(r, least, most)) * time.Millisecond
}

func (p *place) anyHost(r *rand.Rand) *host      { return p.hosts[r.IntN(len(p.hosts))] }
func (p *place) anyServer(r *rand.Rand) *backend { return p.servers[r.IntN(len(p.servers))] }

// restart waits for the end of a process and starts it again.
func (p *place) restart(h *host, binary string, pause int) {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if !h.endsWithin(exited, stopBound+time.Second) {
		p.t.Errorf("%s did not end within its time to stop", h.name)
		h.signal(syscall.SIGKILL)
		<-exited
	}
	p.log.more(pause)
	p.must(h.start(binary))
}

// end ends a host's process by a signal and starts it again, unless another
// fault is doing that.
func (p *place) end(h *host, s syscall.Signal, binary string, pause int) {
	if !h.restarting.TryLock() {
		return
	}
	defer h.restarting.Unlock()
	h.signal(s)
	p.restart(h, binary, pause)
}

// relayFault disturbs the connections of a relay for a while.
func relayFault(p *place, r *rand.Rand, x *relay.Proxy) {
	switch r.IntN(5) {
	case 0:
		x.ResetConnections()
	case 1:
		x.SetDelay(someTime(r, 20, 300))
	case 2:
		x.Pause(false)
	case 3:
		x.Pause(true)
	case 4:
		x.RefuseConnections(true)
		x.ResetConnections()
	}
	p.log.more(some(r, 25, 300))
	x.ClearFaults()
}

// storeFault disturbs the store itself.
func storeFault(p *place, r *rand.Rand) {
	var mode atomic.Int32
	mode.Store(int32(r.IntN(4)))
	delay := someTime(r, 50, 400)
	p.store.SetInterceptor(func(w http.ResponseWriter, q *http.Request) bool {
		switch mode.Load() {
		case 0:
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		case 1:
			w.WriteHeader(http.StatusTooManyRequests)
			return true
		case 2:
			select {
			case <-time.After(delay):
			case <-q.Context().Done():
			}
			return false
		default:
			if q.Method == http.MethodGet {
				return false
			}
			panic(http.ErrAbortHandler) // a write without an answer
		}
	})
	p.log.more(some(r, 40, 400))
	p.store.SetInterceptor(nil)
}

var faults = []fault{
	{"kill", func(p *place, r *rand.Rand, binary string) {
		p.end(p.anyHost(r), syscall.SIGKILL, binary, some(r, 0, 200))
	}},
	{"terminate", func(p *place, r *rand.Rand, binary string) {
		p.end(p.anyHost(r), syscall.SIGTERM, binary, some(r, 0, 60))
	}},
	{"pause", func(p *place, r *rand.Rand, _ string) {
		h := p.anyHost(r)
		h.signal(syscall.SIGSTOP)
		p.log.more(some(r, 15, 900)) // also longer than keys may be honoured
		h.signal(syscall.SIGCONT)
	}},
	{"reload", func(p *place, r *rand.Rand, _ string) { p.anyHost(r).signal(syscall.SIGHUP) }},
	{"link to the store", func(p *place, r *rand.Rand, _ string) { relayFault(p, r, p.anyHost(r).relay) }},
	{"link to a server", func(p *place, r *rand.Rand, _ string) { relayFault(p, r, p.anyServer(r).relay) }},
	{"store", func(p *place, r *rand.Rand, _ string) { storeFault(p, r) }},
	{"history", func(p *place, r *rand.Rand, _ string) {
		p.store.SuppressEvents(true)
		p.log.more(some(r, 15, 130))
		p.store.DropHistory()
		p.store.SuppressEvents(false)
	}},
	{"key", func(p *place, _ *rand.Rand, _ string) { p.revoke() }},
	{"configuration", func(p *place, _ *rand.Rand, _ string) { p.configure() }},
	{"foreign entry", func(p *place, r *rand.Rand, _ string) {
		p.store.PutRawServer(fmt.Sprintf("foreign-%d", r.IntN(5)), `{"service":"ledger","address":7}`)
	}},
	{"server leaves", func(p *place, r *rand.Rand, _ string) {
		b := p.anyServer(r)
		p.list(b, true)
		p.log.more(some(r, 60, 250))
		p.list(b, false)
	}},
	{"server returns cold", func(p *place, r *rand.Rand, _ string) {
		b := p.anyServer(r)
		b.relay.RefuseConnections(true)
		b.relay.ResetConnections()
		p.log.more(some(r, 10, 60))
		p.returnCold(b)
		b.relay.ClearFaults()
		p.log.more(some(r, 100, 200))
	}},
	{"evacuation", func(p *place, r *rand.Rand, _ string) {
		domain := []string{nearDomain, farDomain}[r.IntN(2)]
		p.store.Evacuate(domain)
		p.log.more(some(r, 60, 300))
		p.store.EndEvacuation(domain)
	}},
	{"region is cut off", func(p *place, r *rand.Rand, _ string) {
		for _, b := range p.servers {
			if b.domain == farDomain {
				b.relay.Pause(true)
			}
		}
		p.log.more(some(r, 60, 300))
		for _, b := range p.servers {
			if b.domain == farDomain {
				b.relay.ClearFaults()
			}
		}
	}},
	{"server lapses", func(p *place, r *rand.Rand, _ string) {
		b := p.anyServer(r)
		p.store.DeleteServer(b.ID)
		p.log.more(some(r, 25, 200))
		p.list(b, false)
	}},
}
