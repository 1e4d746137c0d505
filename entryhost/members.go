package entryhost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"bilberrydale/connection/peerconn"
	"bilberrydale/process/member"
	"bilberrydale/process/peer"
)

// membersPart knows the other entry hosts and gives orders to engines.
type membersPart struct {
	link peer.Link
	view member.View // nil until membership is wired

	mesh     *peer.Mesh
	listener net.Listener
}

// checkPeer refuses a peer port that strangers could reach without a secret to
// keep them out.
func (o *Options) checkPeer() error {
	if o.PeerSecret == "" && !loopback(o.Peer) {
		return errors.New("--peer: an address other than loopback needs --peer-secret")
	}
	return nil
}

func (h *Host) wireMembers() error {
	l, err := net.Listen("tcp", h.opts.Peer)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	self := peer.Identity{
		Host: h.opts.Name, Incarnation: h.incarnation, Domain: h.opts.Domain, Region: h.opts.Region,
		Address: l.Addr().String(),
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
		Options: conns, Serve: mesh.Dispatch,
		Accepted: func(c peer.Conn) { mesh.Accepted(c) },
		Refused:  func(address string, cause error) { h.log.Warn("peer refused", "address", address, "err", cause) },
	}
	h.add("peer port", func(ctx context.Context) error {
		defer mesh.Close()
		return server.Run(ctx, l)
	})
	return nil
}

func (h *Host) adminMembers(mux *http.ServeMux) {
	mux.Handle("GET /peers", h.authorized(func(w http.ResponseWriter, _ *http.Request) {
		peers := []member.Peer{}
		if h.members.view != nil {
			peers = h.members.view.Peers()
		}
		writeJSON(w, peers)
	}))
}
