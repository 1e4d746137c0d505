package entryhost

import (
	"net/http"

	"bilberrydale/process/member"
	"bilberrydale/process/peer"
)

// membersPart knows the other entry hosts and gives orders to engines. Both
// fields are nil on a host that runs alone.
type membersPart struct {
	link peer.Link
	view member.View
}

func (h *Host) wireMembers() {}

func (h *Host) adminMembers(mux *http.ServeMux) {
	mux.Handle("GET /peers", h.authorized(func(w http.ResponseWriter, _ *http.Request) {
		peers := []member.Peer{}
		if h.members.link != nil && h.members.view != nil {
			peers = h.members.view.Peers()
		}
		writeJSON(w, peers)
	}))
}
