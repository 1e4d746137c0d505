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

// ReleaseOptions are the settings of the distribution and activation of releases.
type ReleaseOptions struct {
	ActivationDelay     time.Duration // from the acceptance of a release to its activation
	Watchers            int           // number of entry hosts of a failure domain that watch the platform
	SyncInterval        time.Duration // between comparisons of releases with a peer
	MinModelLoadedShare float64       // share of a pool's servers that must have loaded a new model version before it is used
}

func defaultReleaseOptions() ReleaseOptions {
	return ReleaseOptions{
		ActivationDelay: release.DefaultActivationDelay, Watchers: release.DefaultWatchers, SyncInterval: release.DefaultSyncInterval, MinModelLoadedShare: .5,
	}
}

func (o *ReleaseOptions) registerSettings(set *settings.Set) {
	set.Duration(&o.ActivationDelay, "release-hold", "time from the acceptance of a release to its activation, in which it reaches all hosts", 0, 5*time.Second)
	set.Int(&o.Watchers, "release-watchers", "entry hosts of a failure domain that watch the platform", 1, 16)
	set.Duration(&o.SyncInterval, "release-poll", "time between comparisons of releases with a peer", 100*time.Millisecond, time.Minute)
	set.Float(&o.MinModelLoadedShare, "model-loaded", "share of a pool's servers that must have loaded a new model version before it is used", 0, 1)
}

// releaseComponents keep this entry host on the newest accepted release: the
// distributor receives releases from the platform and peers, the follower compiles
// and activates them.
type releaseComponents struct {
	follower    *release.Follower
	distributor *release.Distributor
	modelGate   modelGate
}

// releasesVars holds the variables of each entry host in the process by its name.
var releasesVars = expvar.NewMap("releases")

// wireReleases adds the distribution of releases among entry hosts and the model
// gate.
func (h *Host) wireReleases() {
	p, opts := &h.releases, h.opts.Releases
	p.modelGate.minLoadedShare = opts.MinModelLoadedShare
	p.follower = release.NewFollower(release.FollowerOptions{
		Host: h.opts.Name, Store: h.store, Clock: h.clock, Rand: h.rand, Compile: h.compile, ActivationDelay: opts.ActivationDelay,
	})
	p.distributor = release.NewDistributor(release.DistributorOptions{
		Follower: p.follower, Link: h.membership.link, View: h.membership.view, PeersConfigured: h.opts.PeerSeeds != "",
		Watchers: opts.Watchers, SyncInterval: opts.SyncInterval,
	})
	h.membership.monitor.Attach("release", p.distributor.HeartbeatPayload, p.distributor.OnHeartbeatPayload)
	h.addTask("releases", p.distributor.Run)
	h.addTask("model gate", h.runModelGate)
	releasesVars.Set(h.opts.Name, expvar.Func(func() any { return h.releaseStatus() }))
}

// releaseStatus adds the counts of calls to the platform to the status of the
// distributor.
type releaseStatus struct {
	release.Status
	Platform *objectapi.Counts `json:"platform_calls,omitempty"` // numbers of calls; nil for a store other than objectapi.Client
}

// releaseStatus returns the status of the release distribution.
func (h *Host) releaseStatus() releaseStatus {
	status := releaseStatus{Status: h.releases.distributor.Status()}
	if store, ok := h.store.(*objectapi.Client); ok {
		counts := store.Counts()
		status.Platform = &counts
	}
	return status
}

// compile builds the snapshot of a release. The function that it returns
// activates the snapshot for new requests. An error means that the release cannot be
// used; the one in force stays.
func (h *Host) compile(rel release.Release) (func(), error) {
	snap, err := snapshot.Build(rel, snapshot.Options{
		Registry: h.registry, Now: h.clock.Now(), NewPicker: h.newPicker, AdjustPool: h.modelAdjuster(),
	})
	if err != nil {
		return nil, err
	}
	return func() {
		h.inForce.Store(snap)
		h.log.Info("release in force", "number", rel.Number, "hash", rel.Hash, "author", rel.Author)
	}, nil
}

// registerReleaseRoutes adds the admin routes for the release in force and the
// status of its distribution.
func (h *Host) registerReleaseRoutes(mux *http.ServeMux) {
	mux.Handle("GET /tables", h.requireAdminToken(func(w http.ResponseWriter, _ *http.Request) {
		rel, _ := h.releases.follower.Current()
		writeJSON(w, rel)
	}))
	mux.Handle("GET /release", h.requireAdminToken(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, h.releases.distributor.Status())
	}))
}
