package entryhost

import (
	"net/http"

	"bilberrydale/process/release"
	"bilberrydale/version/snapshot"
)

// releasesPart keeps this entry host on the newest accepted release.
type releasesPart struct {
	follower *release.Follower
}

func (h *Host) wireReleases() {
	h.releases.follower = release.NewFollower(h.store, h.clock, h.install)
	h.add("release follower", h.releases.follower.Run)
}

// install compiles a release and puts it in force for new requests.
func (h *Host) install(rel release.Release) error {
	snap, err := snapshot.Build(rel, snapshot.Options{Registry: h.registry, Now: h.clock.Now(), NewPicker: h.newPicker})
	if err != nil {
		return err
	}
	h.inForce.Store(snap)
	h.log.Info("release in force", "number", rel.Number, "hash", rel.Hash, "author", rel.Author)
	return nil
}

func (h *Host) adminReleases(mux *http.ServeMux) {
	mux.Handle("GET /tables", h.authorized(func(w http.ResponseWriter, _ *http.Request) {
		rel, _ := h.releases.follower.Current()
		writeJSON(w, rel)
	}))
}
