package entryhost

import (
	"expvar"
	"net/http"
	"time"

	"bilberrydale/internal/settings"
	"bilberrydale/process/objectapi"
	"bilberrydale/process/release"
	"bilberrydale/version/snapshot"
)

// ReleaseOptions are the settings of following releases.
type ReleaseOptions struct {
	ActivationDelay     time.Duration // from a release's acceptance to the switch
	Watchers            int           // hosts of a failure domain that watch the platform
	SyncInterval        time.Duration // period of comparing with a peer
	MinModelLoadedShare float64       // share of a pool's servers that make a model version usable
}

func defaultReleaseOptions() ReleaseOptions {
	return ReleaseOptions{
		ActivationDelay: release.DefaultActivationDelay, Watchers: release.DefaultWatchers, SyncInterval: release.DefaultSyncInterval, MinModelLoadedShare: .5,
	}
}

func (o *ReleaseOptions) register(set *settings.Set) {
	set.Duration(&o.ActivationDelay, "release-hold", "time in which a release spreads before hosts switch to it", 0, 5*time.Second)
	set.Int(&o.Watchers, "release-watchers", "entry hosts of a failure domain that watch the platform", 1, 16)
	set.Duration(&o.SyncInterval, "release-poll", "period in which an entry host compares releases with a peer", 100*time.Millisecond, time.Minute)
	set.Float(&o.MinModelLoadedShare, "model-loaded", "share of a pool's servers that have to have a new model version loaded before it is used", 0, 1)
}

// releasesPart keeps this entry host on the newest accepted release.
type releasesPart struct {
	follower *release.Follower
	spread   *release.Distributor
	models   modelGate
}

// releasesVars shows every entry host of the process by name.
var releasesVars = expvar.NewMap("releases")

func (h *Host) wireReleases() {
	p, opts := &h.releases, h.opts.Releases
	p.models.share = opts.MinModelLoadedShare
	p.follower = release.NewFollower(release.FollowerOptions{
		Host: h.opts.Name, Store: h.store, Clock: h.clock, Rand: h.rand, Compile: h.compile, ActivationDelay: opts.ActivationDelay,
	})
	p.spread = release.NewDistributor(release.DistributorOptions{
		Follower: p.follower, Link: h.members.link, View: h.members.view, PeersConfigured: h.opts.PeerSeeds != "",
		Watchers: opts.Watchers, SyncInterval: opts.SyncInterval,
	})
	h.members.monitor.Attach("release", p.spread.HeartbeatPayload, p.spread.OnHeartbeatPayload)
	h.add("releases", p.spread.Run)
	h.add("model gate", h.openModels)
	releasesVars.Set(h.opts.Name, expvar.Func(func() any { return h.releaseVars() }))
}

type releaseVars struct {
	release.Status
	Platform *objectapi.Counts `json:"platform_calls,omitempty"`
}

func (h *Host) releaseVars() releaseVars {
	vars := releaseVars{Status: h.releases.spread.Status()}
	if store, ok := h.store.(*objectapi.Client); ok {
		counts := store.Counts()
		vars.Platform = &counts
	}
	return vars
}

// compile builds the snapshot of a release; the function it returns puts the
// snapshot in force for new requests.
func (h *Host) compile(rel release.Release) (func(), error) {
	snap, err := snapshot.Build(rel, snapshot.Options{
		Registry: h.registry, Now: h.clock.Now(), NewPicker: h.newPicker, AdjustPool: h.holdModels(),
	})
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
	mux.Handle("GET /release", h.authorized(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, h.releases.spread.Status())
	}))
}
