package entryhost

import (
	"net/http"

	"bilberrydale/process/release"
	"bilberrydale/version/snapshot"
)

// releasesPart keeps this entry host on the newest accepted release.
type releasesPart struct {
	follower *release.Follower
	spread   *release.Spread
}

func (h *Host) wireReleases() {
	p := &h.releases
	p.follower = release.NewFollower(release.FollowerOptions{
		Host: h.opts.Name, Store: h.store, Clock: h.clock, Rand: h.rand, Compile: h.compile,
	})
	p.spread = release.NewSpread(release.SpreadOptions{
		Follower: p.follower, Link: h.members.link, View: h.members.view, ExpectPeers: h.opts.Peers != "",
	})
	h.add("releases", p.spread.Run)
}

// compile builds the snapshot of a release; the function it returns puts the
// snapshot in force for new requests.
func (h *Host) compile(rel release.Release) (func(), error) {
	snap, err := snapshot.Build(rel, snapshot.Options{Registry: h.registry, Now: h.clock.Now(), NewPicker: h.newPicker})
	if err != nil {
		return nil, err
	}
	return func() {
		h.inForce.Store(snap)
		h.log.Info("release in force", "number", rel.Number, "hash", rel.Hash, "author", rel.Author)
	}, nil
}

func (h *Host) adminReleases(mux *http.ServeMux) {
	mux.Handle("GET /tables", h.authorized(func(w http.ResponseWriter, _ *http.Request) {
		rel, _ := h.releases.follower.Current()
		writeJSON(w, rel)
	}))
}
