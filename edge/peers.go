package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrydale/connection/peerconn"
	"bilberrydale/platform"
	"bilberrydale/process/apihealth"
	"bilberrydale/process/objectwatch"
	"bilberrydale/process/peer"
)

// hostsListTimeout is how long a starting host waits for the list of entry hosts
// before it reads everything from the platform itself.
const hostsListTimeout = 2 * hostsCoalesceDelay

// afterHostsListed delays a task until the other entry hosts are known or
// hostsListTimeout has passed. When many hosts start at once, they then read through
// each other instead of each from the platform.
func (h *Host) afterHostsListed(task func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-h.hostsListed:
		case <-h.clock.After(hostsListTimeout):
		case <-ctx.Done():
		}
		return task(ctx)
	}
}

// registerRetryDelay is the pause after a failed registration.
const registerRetryDelay = 300 * time.Millisecond

// runPeers registers this host with the platform, then serves calls of other entry
// hosts and follows the list of them until ctx ends.
func (h *Host) runPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		err := h.register(ctx)
		if err == nil {
			break
		}
		h.log.Warn("peers", "outcome", "not registered yet", "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(registerRetryDelay):
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	opts, err := h.peerOptions()
	if err != nil {
		return err
	}
	defer h.mesh.Close()
	server := &peerconn.Server{
		Options: opts, Dispatch: h.mesh.Dispatch, OnAccept: h.mesh.AddAccepted,
		OnReject: func(address string, cause error) { h.log.Warn("peer refused", "address", address, "err", cause) },
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { h.awaitFirstRegistrations(ctx); return h.hostFollower.Run(ctx) })
	g.Go(func() error { return server.Run(ctx, h.listeners.peers) })
	return g.Wait()
}

// awaitFirstRegistrations delays the first list of entry hosts at the first start of
// the whole system, so that all hosts can register first. Otherwise each host would
// be notified of every other one separately.
func (h *Host) awaitFirstRegistrations(ctx context.Context) {
	if !h.settings.Bootstrap {
		return
	}
	select {
	case <-ctx.Done():
	case <-h.clock.After(hostsCoalesceDelay):
	}
}

// register gets the secret that entry hosts share, unless it is known already, and writes this
// host's entry to the platform's list. It may be repeated, also after a failure.
func (h *Host) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*responseTimeout)
	defer cancel()
	if h.peerSecret.Load() == nil {
		var candidate [16]byte
		if _, err := rand.Read(candidate[:]); err != nil {
			return err
		}
		secret, err := apihealth.Call(ctx, h.platformMonitor, 0, func(ctx context.Context, _ bool) (string, error) {
			return platform.EnsurePeerSecret(ctx, h.store, hex.EncodeToString(candidate[:]), h.settings.Bootstrap)
		})
		if err != nil {
			return err
		}
		h.peerSecret.Store(&secret)
	}
	_, err := apihealth.Call(ctx, h.platformMonitor, 0, func(ctx context.Context, _ bool) (struct{}, error) {
		return struct{}{}, platform.RegisterHost(ctx, h.store, h.self, h.settings.Bootstrap)
	})
	return err
}

// hostsChanged applies the platform's current list of entry hosts. It passes them to the
// mesh, forgets hosts that are no longer listed, and restores this host's own entry if
// another host has removed it.
func (h *Host) hostsChanged(objects map[string]objectwatch.Object[peer.Identity], trigger string) {
	listed := make(map[string]objectwatch.Object[peer.Identity], len(objects))
	for name, o := range objects {
		if o.Err != nil {
			h.log.Warn("entry host", "outcome", "entry left out", "name", name, "err", o.Err)
			continue
		}
		listed[name] = o
		h.mesh.AddPeer(o.Value)
	}
	previous := h.listedHosts.Swap(&listed)
	if previous == nil {
		close(h.hostsListed)
		h.stages.Announce()
		h.stages.MarkPeersKnown()
		return
	}
	for _, id := range h.mesh.Peers() {
		previousEntry, wasListed := (*previous)[id.Host]
		// A restarted host has already announced its new incarnation; keep that one.
		if _, isListed := listed[id.Host]; !isListed && wasListed && previousEntry.Value.Incarnation == id.Incarnation {
			h.log.Info("entry host", "outcome", "gone", "name", id.Host, "by", trigger)
			h.forgetAfterStop(id)
		}
	}
	if _, isListed := listed[h.self.Host]; !isListed && !h.stopping.Load() {
		// Another host removed the entry while this one was unreachable.
		h.log.Warn("entry host", "outcome", "own entry is gone; registered again", "by", trigger)
		go h.registerAgain()
	}
}

// registerAgain restores this host's entry in the platform's list.
func (h *Host) registerAgain() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*responseTimeout)
	defer cancel()
	if err := h.register(ctx); err != nil {
		h.log.Warn("peers", "outcome", "not registered again", "err", err)
	}
}

// forgetAfterStop removes an unlisted host from the mesh after the platform's time to
// stop. A stopping host removes its entry before its last requests are complete, and
// closing its connections at that point would abort their stage work.
func (h *Host) forgetAfterStop(id peer.Identity) {
	time.AfterFunc(h.settings.ShutdownGracePeriod, func() {
		for _, current := range h.mesh.Peers() {
			if current.Host == id.Host && current.Incarnation == id.Incarnation {
				h.mesh.RemovePeer(id.Host)
			}
		}
	})
}

// knownHosts returns the names of all entry hosts, including this one, or nil before
// the first list.
func (h *Host) knownHosts() []string {
	if h.listedHosts.Load() == nil {
		return nil
	}
	names := []string{h.self.Host}
	for _, id := range h.mesh.Peers() {
		names = append(names, id.Host)
	}
	return names
}

// maxUnlistedHosts is the number of entry hosts that may have joined without this host
// having learned of them. Each host's part of the retry budget is computed as if they
// were present.
const maxUnlistedHosts = 3

// createMesh creates the mesh of connections to the other entry hosts.
func (h *Host) createMesh() {
	h.self = peer.Identity{
		Host: h.settings.Host, Incarnation: uint64(time.Now().UnixNano()), Domain: h.settings.Domain,
		Region:  h.settings.Regions[h.settings.Domain],
		Address: h.listeners.peers.Addr().String(),
		Cores:   h.settings.CPUCores,
	}
	h.mesh = peer.NewMesh(peer.MeshOptions{
		Self: h.self, Clock: h.clock, Rand: h.rand, MaxBackoff: time.Second,
		Dial: func(ctx context.Context, address string, serve peer.Dispatch) (peer.Conn, error) {
			opts, err := h.peerOptions()
			if err != nil {
				return nil, err
			}
			c, err := peerconn.Dial(ctx, address, opts, serve)
			if err != nil {
				return nil, err
			}
			return c, nil
		},
	})
}

// errNoPeerSecret is returned for connections to peers before this host has the shared secret.
var errNoPeerSecret = errors.New("edge: peer secret has not been read from the platform yet")

// peerOptions returns the options for connections to peers, or errNoPeerSecret.
func (h *Host) peerOptions() (peerconn.Options, error) {
	secret := h.peerSecret.Load()
	if secret == nil {
		return peerconn.Options{}, errNoPeerSecret
	}
	return peerconn.Options{
		Self: h.self, Secret: []byte(*secret), MaxHandlers: maxPeerHandlers,
		HandshakeTimeout: peerHandshakeTimeout, PingInterval: peerPingInterval, ReadTimeout: peerTimeout, IdleTimeout: peerIdleTimeout,
	}, nil
}
