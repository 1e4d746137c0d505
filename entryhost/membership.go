package entryhost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"bilberrydale/connection/peerconn"
	"bilberrydale/connection/serverprobe"
	"bilberrydale/process/lease"
	"bilberrydale/process/loadreport"
	"bilberrydale/process/membership"
	"bilberrydale/process/order"
	"bilberrydale/process/peer"
)

// membershipComponents track the other entry hosts and send orders to the engines
// of the failure domain.
type membershipComponents struct {
	link peer.Link       // calls to the other entry hosts; the same object as mesh
	view membership.View // states of the other entry hosts; the same object as monitor

	monitor      *membership.Monitor
	reportPoller *loadreport.Poller // polls backend servers and shares their reports with the other entry hosts
	elector      *lease.Elector     // of the lease for sending orders
	orderManager *order.Manager
	modelCache   atomic.Pointer[releaseModels] // for acceptedModels
	mesh         *peer.Mesh
	listener     net.Listener // of the peer port
}

// checkPeerAddress requires a secret for a peer port that is not on loopback:
// without one, anybody who reaches the port could connect as an entry host.
func (o *Options) checkPeerAddress() error {
	if o.PeerSecret == "" && !isLoopback(o.PeerAddress) {
		return errors.New("--peer: an address other than loopback needs --peer-secret")
	}
	return nil
}

// wireMembership opens the peer port and adds the mesh of connections between
// entry hosts, with the components that use it. The error is that of listening.
func (h *Host) wireMembership() error {
	l, err := net.Listen("tcp", h.opts.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	self := peer.Identity{
		Host: h.opts.Name, Incarnation: h.incarnation, Domain: h.opts.Domain, Region: h.opts.Region,
		Address: l.Addr().String(),
	}
	if h.opts.Membership.AdvertiseAddress != "" {
		self.Address = h.opts.Membership.AdvertiseAddress
	}
	connOptions := peerconn.Options{Self: self, Secret: []byte(h.opts.PeerSecret)}
	mesh := peer.NewMesh(peer.MeshOptions{
		Self: self, Clock: h.clock, Rand: h.rand,
		Dial: func(ctx context.Context, address string, dispatch peer.Dispatch) (peer.Conn, error) {
			c, err := peerconn.Dial(ctx, address, connOptions, dispatch)
			if err != nil {
				return nil, err
			}
			return c, nil
		},
	})
	h.membership.link, h.membership.mesh, h.membership.listener = mesh, mesh, l
	server := &peerconn.Server{
		Options: connOptions, Dispatch: mesh.Dispatch,
		OnAccept: func(c peer.Conn) {
			if id := c.Peer(); id.Host == self.Host && id.Incarnation != self.Incarnation {
				h.log.Error("another entry host has this name; give each its own --name", "address", id.Address)
			}
			mesh.AddAccepted(c)
		},
		OnReject: func(address string, cause error) { h.log.Warn("peer refused", "address", address, "err", cause) },
	}
	h.addTask("peer port", func(ctx context.Context) error {
		defer mesh.Close()
		return server.Run(ctx, l)
	})
	h.wireMonitor(mesh)
	return nil
}

// wireMonitor adds the membership view of the other entry hosts, the sharing of
// backend server reports, and the orders to engines.
func (h *Host) wireMonitor(mesh *peer.Mesh) {
	seeds := h.opts.seedAddresses()
	monitor := membership.New(membership.Options{
		Link: mesh, Clock: h.clock, Rand: h.rand, Draining: h.gate.Closed,
		Seeds: func() []string { return append(h.membership.reportPoller.Seeds(), seeds...) },
	})
	mesh.OnConnect(monitor.RecordAlive)
	h.membership.monitor, h.membership.view = monitor, monitor
	h.membership.reportPoller = loadreport.New(loadreport.Options{
		Link: mesh, View: monitor, Monitor: monitor, Clock: h.clock, Rand: h.rand,
		Prober: serverprobe.New(serverprobe.Options{Gate: h.serverGate()}), Targets: h.reportTargets, ListHosts: h.store.Hosts,
	})
	h.addTask("membership", monitor.Run)
	h.addTask("backend server reports", h.membership.reportPoller.Run)
	h.wireOrders(monitor)
}

// reportTargets returns the backend servers of all pools of the release in force.
func (h *Host) reportTargets() []loadreport.Target {
	snap := h.inForce.Load()
	if snap == nil {
		return nil
	}
	var out []loadreport.Target
	for _, p := range snap.Pools {
		for _, s := range p.Picker.Servers() {
			out = append(out, loadreport.Target{State: s.State, Domain: s.Domain})
		}
	}
	return out
}

// seedAddresses returns the peer addresses of PeerSeeds, to which this host connects
// first to find the other entry hosts.
func (o *Options) seedAddresses() []string {
	var out []string
	for address := range strings.SplitSeq(o.PeerSeeds, ",") {
		if address = strings.TrimSpace(address); address != "" {
			out = append(out, address)
		}
	}
	return out
}

// registerMembershipRoutes adds the admin route that lists the other entry hosts.
func (h *Host) registerMembershipRoutes(mux *http.ServeMux) {
	mux.Handle("GET /peers", h.requireAdminToken(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, h.membership.view.Peers())
	}))
}
