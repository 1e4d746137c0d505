package entryhost

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// draining reports whether a drain has been requested or has begun.
func (h *Host) draining() bool { return h.drainRequested.Load() || h.gate.Closed() }

// ready reports whether the balancer may send requests to this host: a release
// is in force, the host has joined the distribution of releases and it is not
// draining.
func (h *Host) ready() bool {
	return h.inForce.Load() != nil && h.releases.distributor.Joined() && !h.draining()
}

// serveHealth answers 200 if the host is ready and 503 if it is not.
func (h *Host) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Cache-Control", "no-store")
	if !h.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Drain takes the host out of service: readiness turns false at once, and new
// requests are refused after Options.DrainDelay. The process keeps running.
// Drain returns immediately; calls after the first have no effect.
func (h *Host) Drain() {
	if h.drainRequested.Swap(true) {
		return
	}
	h.log.Info("leaving: not ready", "delay", h.opts.DrainDelay)
	if h.opts.DrainDelay <= 0 {
		h.gate.Close()
		return
	}
	go func() {
		<-h.clock.After(h.opts.DrainDelay)
		h.gate.Close()
	}()
}

// shutdown drains the host and stops its servers. New requests are refused only
// after the drain delay: until the balancer has noticed that the host is not
// ready, callers would get refusals for requests that another host could serve.
func (h *Host) shutdown() error {
	h.Drain()
	if !h.gate.Closed() {
		<-h.clock.After(h.opts.DrainDelay)
		h.gate.Close()
	}
	h.log.Info("draining", "active", h.gate.Active())
	ctx, cancel := context.WithTimeout(context.Background(), h.opts.DrainTimeout)
	defer cancel()
	err := h.gate.Wait(ctx)
	if err != nil {
		err = fmt.Errorf("drain: %d requests still in flight: %w", h.gate.Active(), err)
	}
	for _, finish := range h.afterDrain {
		err = errors.Join(err, finish(ctx))
	}
	err = errors.Join(err, h.callersServer.Shutdown(ctx), h.adminServer.Shutdown(ctx), h.flushSpans(ctx))
	h.log.Info("stopped", "err", err)
	return err
}
