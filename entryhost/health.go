package entryhost

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

func (h *Host) draining() bool { return h.leaving.Load() || h.gate.Closed() }

// ready reports whether the balancer may send requests here.
func (h *Host) ready() bool {
	return h.inForce.Load() != nil && h.releases.spread.Joined() && !h.draining()
}

func (h *Host) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Cache-Control", "no-store")
	if !h.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Drain takes the host out of service on an operator's order; the process
// keeps running. It returns at once.
func (h *Host) Drain() {
	if h.leaving.Swap(true) {
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

// shutdown drains and stops the servers. Refusing before the balancer has
// noticed would hand callers refusals that another host could have answered.
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
	err = errors.Join(err, h.callers.Shutdown(ctx), h.admin.Shutdown(ctx), h.flushSpans(ctx))
	h.log.Info("stopped", "err", err)
	return err
}
