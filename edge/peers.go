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
	"bilberrydale/process/follow"
	"bilberrydale/process/peer"
	"bilberrydale/process/reach"
)

// meetPatience is how long a host that has just begun waits for the list of entry
// hosts before it asks the platform for everything itself.
const hostsListTimeout = 2 * hostsSettleDelay

// onceMet runs an actor once the other hosts are known, or cannot be had soon: what
// they know is not asked of the platform by each host of a fleet that starts.
func (h *Host) afterHostsListed(actor func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-h.hostsListed:
		case <-h.clock.After(hostsListTimeout):
		case <-ctx.Done():
		}
		return actor(ctx)
	}
}

// joinPause is the pause after a failed step of joining.
const registerRetryDelay = 300 * time.Millisecond

// joinPeers registers this host with the platform and opens the peer port.
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
		Options: opts, Serve: h.mesh.Dispatch, Accepted: h.mesh.Accepted,
		Refused: func(address string, cause error) { h.log.Warn("peer refused", "address", address, "err", cause) },
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { h.awaitFirstRegistrations(ctx); return h.entryHosts.Run(ctx) })
	g.Go(func() error { return server.Run(ctx, h.listeners.peers) })
	return g.Wait()
}

// awaitOthers lets the hosts of a system that starts for the first time register
// themselves before they are listed: otherwise each of them is told of each other one.
func (h *Host) awaitFirstRegistrations(ctx context.Context) {
	if !h.settings.FirstStart {
		return
	}
	select {
	case <-ctx.Done():
	case <-h.clock.After(hostsSettleDelay):
	}
}

func (h *Host) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*responseTimeout)
	defer cancel()
	if h.peerSecret.Load() == nil {
		var offer [16]byte
		if _, err := rand.Read(offer[:]); err != nil {
			return err
		}
		secret, err := reach.Call(ctx, h.reach, 0, func(ctx context.Context, _ bool) (string, error) {
			return platform.PeerSecret(ctx, h.store, hex.EncodeToString(offer[:]), h.settings.FirstStart)
		})
		if err != nil {
			return err
		}
		h.peerSecret.Store(&secret)
	}
	_, err := reach.Call(ctx, h.reach, 0, func(ctx context.Context, _ bool) (struct{}, error) {
		return struct{}{}, platform.RegisterHost(ctx, h.store, h.self, h.settings.FirstStart)
	})
	return err
}

func (h *Host) hostsChanged(objects map[string]follow.Object[peer.Identity], why string) {
	listed := make(map[string]follow.Object[peer.Identity], len(objects))
	for name, o := range objects {
		if o.Err != nil {
			h.log.Warn("entry host", "outcome", "entry left out", "name", name, "err", o.Err)
			continue
		}
		listed[name] = o
		h.mesh.Learn(o.Value)
	}
	before := h.listedHosts.Swap(&listed)
	if before == nil {
		close(h.hostsListed)
		h.stages.Announce()
		h.stages.MarkPeersKnown()
		return
	}
	for _, id := range h.mesh.Peers() {
		was, ok := (*before)[id.Host]
		// A host that came back has told so itself before the list did.
		if _, is := listed[id.Host]; !is && ok && was.Value.Incarnation == id.Incarnation {
			h.log.Info("entry host", "outcome", "gone", "name", id.Host, "by", why)
			h.forgetAfterStop(id)
		}
	}
	if _, is := listed[h.self.Host]; !is && !h.stopping.Load() {
		// Another host took this one for lost, while it was cut off.
		h.log.Warn("entry host", "outcome", "own entry is gone; registered again", "by", why)
		go h.registerAgain()
	}
}

func (h *Host) registerAgain() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*responseTimeout)
	defer cancel()
	if err := h.register(ctx); err != nil {
		h.log.Warn("peers", "outcome", "not registered again", "err", err)
	}
}

// forgetLater drops a host that is no longer listed once it must have stopped.
// It takes its entry back before its last requests are done, and closing its
// connections then would cut the stage work of those.
func (h *Host) forgetAfterStop(id peer.Identity) {
	time.AfterFunc(h.settings.StopBound, func() {
		for _, now := range h.mesh.Peers() {
			if now.Host == id.Host && now.Incarnation == id.Incarnation {
				h.mesh.Forget(id.Host)
			}
		}
	})
}

// knownHosts returns the names of all entry hosts; none before the others are known.
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

// spareHosts may join before this host knows of them; the retry budget's part
// of each is taken as if they were there.
const joiningHosts = 3

func (h *Host) createMesh() {
	h.self = peer.Identity{
		Host: h.settings.Host, Incarnation: uint64(time.Now().UnixNano()), Domain: h.settings.Domain,
		Region:  h.settings.Regions[h.settings.Domain],
		Address: h.listeners.peers.Addr().String(),
		Share:   h.settings.ProcessorShare,
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

var errNoPeerSecret = errors.New("edge: the peers' secret is not known yet")

func (h *Host) peerOptions() (peerconn.Options, error) {
	secret := h.peerSecret.Load()
	if secret == nil {
		return peerconn.Options{}, errNoPeerSecret
	}
	return peerconn.Options{
		Self: h.self, Secret: []byte(*secret), MaxHandlers: maxPeerHandlers,
		Handshake: peerHandshakeTimeout, Ping: peerPingInterval, Silence: peerTimeout, Idle: peerIdleTimeout,
	}, nil
}
