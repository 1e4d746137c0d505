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
	"bilberrydale/process/member"
	"bilberrydale/process/order"
	"bilberrydale/process/peer"
	"bilberrydale/process/report"
)

// membersPart knows the other entry hosts and gives orders to engines.
type membersPart struct {
	link peer.Link
	view member.View

	monitor  *member.Monitor
	servers  *report.Poller
	lease    *lease.Elector
	orders   *order.Manager
	accepted atomic.Pointer[modelTable]
	mesh     *peer.Mesh
	listener net.Listener
}

// checkPeer refuses a peer port that strangers could reach without a secret to
// keep them out.
func (o *Options) checkPeer() error {
	if o.PeerSecret == "" && !loopback(o.PeerAddress) {
		return errors.New("--peer: an address other than loopback needs --peer-secret")
	}
	return nil
}

func (h *Host) wireMembers() error {
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
	conns := peerconn.Options{Self: self, Secret: []byte(h.opts.PeerSecret)}
	mesh := peer.NewMesh(peer.MeshOptions{
		Self: self, Clock: h.clock, Rand: h.rand,
		Dial: func(ctx context.Context, address string, serve peer.Dispatch) (peer.Conn, error) {
			c, err := peerconn.Dial(ctx, address, conns, serve)
			if err != nil {
				return nil, err
			}
			return c, nil
		},
	})
	h.members.link, h.members.mesh, h.members.listener = mesh, mesh, l
	server := &peerconn.Server{
		Options: conns, Dispatch: mesh.Dispatch,
		OnAccept: func(c peer.Conn) {
			if id := c.Peer(); id.Host == self.Host && id.Incarnation != self.Incarnation {
				h.log.Error("another entry host has this name; give each its own --name", "address", id.Address)
			}
			mesh.AddAccepted(c)
		},
		OnReject: func(address string, cause error) { h.log.Warn("peer refused", "address", address, "err", cause) },
	}
	h.add("peer port", func(ctx context.Context) error {
		defer mesh.Close()
		return server.Run(ctx, l)
	})
	h.watchPeers(mesh)
	return nil
}

// watchPeers keeps the view of the other entry hosts.
func (h *Host) watchPeers(mesh *peer.Mesh) {
	seeds := h.opts.seeds()
	m := member.New(member.Options{
		Link: mesh, Clock: h.clock, Rand: h.rand, Draining: h.gate.Closed,
		Seeds: func() []string { return append(h.members.servers.Seeds(), seeds...) },
	})
	mesh.OnConnect(m.RecordAlive)
	h.members.monitor, h.members.view = m, m
	h.members.servers = report.New(report.Options{
		Link: mesh, View: m, Monitor: m, Clock: h.clock, Rand: h.rand,
		Prober: serverprobe.New(serverprobe.Options{}), Targets: h.targets, ListHosts: h.store.Hosts,
	})
	h.add("membership", m.Run)
	h.add("backend server reports", h.members.servers.Run)
	h.giveOrders(m)
}

// targets returns the backend servers of the tables in force.
func (h *Host) targets() []report.Target {
	snap := h.inForce.Load()
	if snap == nil {
		return nil
	}
	var out []report.Target
	for _, p := range snap.Pools {
		for _, s := range p.Picker.Servers() {
			out = append(out, report.Target{State: s.State, Domain: s.Domain})
		}
	}
	return out
}

func (o *Options) seeds() []string {
	var out []string
	for address := range strings.SplitSeq(o.PeerSeeds, ",") {
		if address = strings.TrimSpace(address); address != "" {
			out = append(out, address)
		}
	}
	return out
}

func (h *Host) adminMembers(mux *http.ServeMux) {
	mux.Handle("GET /peers", h.authorized(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, h.members.view.Peers())
	}))
}
