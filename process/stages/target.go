package stages

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bilberrydale/process/balance"
)

// Target is a backend server that a request may run on once its stage results are ready.
type Target struct {
	ID     string
	Domain string        // failure domain
	Cost   time.Duration // cost of the request there, without transfer of results, prefill and cache hits
	// Home reports that the server is likely to have cached the shared prompt prefix if
	// no holder of the prefix is known.
	Home bool
}

// withTransferCost returns the targets with the cost of transferring results from other
// failure domains added.
func withTransferCost(list []Target, inputs []Input) []Target {
	var total int64
	byDomain := map[string]int64{}
	for _, in := range inputs {
		total += in.Bytes
		byDomain[in.Domain] += in.Bytes
	}
	out := slices.Clone(list)
	for i := range out {
		out[i].Cost += balance.RemoteInputCost(total - byDomain[out[i].Domain])
	}
	return out
}

// Prompt describes the prompt that a server has to prefill for a request.
type Prompt struct {
	LongPrefix    string        // key of the longest prefix shared with other requests; empty: none
	ShortPrefix   string        // key of a shorter prefix shared by more requests; empty: none
	CacheGain     time.Duration // cost reduction at a server that has cached the long prefix
	SharedPrefill time.Duration // prefill time of the long prefix
	FetchTime     time.Duration // time to transfer the long prefix from another server; 0: not possible
	OwnPrefill    time.Duration // prefill time of the rest of the prompt
}

// promptTracker tracks the prompts that servers are prefilling and the prefixes in their
// caches, for the requests whose stage work ran here. The owner handles the requests of all
// hosts: each host alone sees too few of them to detect that a server has three long prompts
// to prefill, or which other server cached a prefix while its home server was busy. Load
// reports of servers arrive too late for this.
type promptTracker struct {
	mu              sync.Mutex                 // guards the maps
	pendingByServer map[string][]pendingPrompt // by server id, oldest first
	holdersByPrefix map[string][]prefixHolder  // by key of the prefix, the last recorded one last
	announcedAt     map[string]time.Time       // when other regions were last notified, by prefix
}

// pendingPrompt is a prompt that was assigned to a server and whose response has not started.
type pendingPrompt struct {
	request    workKey
	duration   time.Duration // estimated time to prefill it or to transfer its prefix
	assignedAt time.Time
}

// prefixHolder is a server that has cached a prefix, or is prefilling it.
type prefixHolder struct {
	serverID string
	domain   string    // failure domain; empty: unknown
	lastUsed time.Time // time of the last request with the prefix
	readyAt  time.Time // when the server will have the prefix
}

const (
	// pendingTimeout is the time after which a prompt stops counting although no host
	// reported its prefill: the host that should report it has failed, or its message was
	// lost.
	pendingTimeout = 3 * time.Second
	// prefixTTL is how long a server is expected to keep a prefix: the caches of engines
	// hold the prompts of a minute, and less during bursts.
	prefixTTL = 20 * time.Second
	// maxTrackedPrefixes bounds the number of prefixes in each map: at that number the map is
	// cleared.
	maxTrackedPrefixes = 8192
)

const (
	// waitWeight is the cost of each unit of a wait, if the wait does not make its request late:
	// other requests queue behind it, and its results occupy memory of their servers meanwhile.
	waitWeight = 0.3
	// slackShare is the share of the time until a request's target time that it may spend
	// waiting: the pending prefill time of a server is only an estimate.
	slackShare = 0.5
)

// waitCost returns the cost of a wait for a request with some slack until its target time.
// The part of the wait that would make the request late counts fully, the rest by waitWeight:
// prefilling a prefix again elsewhere takes another server's time. For a request that is late
// already (slack of 0 or less), the whole wait counts by waitWeight.
func waitCost(wait, slack time.Duration) time.Duration {
	cost := time.Duration(waitWeight * float64(wait))
	if over := wait - time.Duration(slackShare*float64(slack)); slack > 0 && over > 0 {
		cost += time.Duration((1 - waitWeight) * float64(over))
	}
	return cost
}

// choice is the server chosen for a request; serverID is empty if there is none.
type choice struct {
	serverID  string
	wait      time.Duration // for other prompts pending there
	fetchFrom string        // server to transfer the shared prefix from; empty: none
	// announce: other regions must be notified that the server has the shared prefix.
	announce bool
}

// choose returns the cheapest target for a request with some slack until its target time. It counts
// the prompt as pending there and records the server as a holder of the prompt's prefixes.
func (r *promptTracker) choose(now time.Time, request workKey, slack time.Duration, p Prompt, list []Target) choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders, shortHolders := r.currentHolders(now, p.LongPrefix), r.currentHolders(now, p.ShortPrefix)
	var best option
	for _, t := range list {
		if o := r.evaluate(now, slack, p, holders, t); best.ID == "" || o.totalCost < best.totalCost {
			best = o
		}
	}
	if best.ID == "" {
		return choice{}
	}
	if best.fetchFrom == "" && p.FetchTime > 0 {
		// This includes a server that is expected to have the prefix: it may have evicted it,
		// and nothing is transferred if it has not.
		best.fetchFrom = cmp.Or(fetchSource(now, holders, best.Target), fetchSource(now, shortHolders, best.Target))
	}
	r.setPending(best.ID, append(r.pendingByServer[best.ID], pendingPrompt{request, best.duration, now}))
	assigned := prefixHolder{best.ID, best.Domain, now, now.Add(best.wait + best.duration)}
	r.recordHolder(p.LongPrefix, holders, assigned)
	r.recordHolder(p.ShortPrefix, shortHolders, assigned)
	return choice{serverID: best.ID, wait: best.wait, fetchFrom: best.fetchFrom, announce: r.claimAnnouncement(now, p, best.unexpected)}
}

// option is one target with its cost for a request.
type option struct {
	Target
	totalCost  time.Duration // Target.Cost with the wait, less the gain from a cached prefix
	wait       time.Duration // for other prompts pending there
	duration   time.Duration // to prefill the prompt, or to transfer its prefix
	cached     bool          // the server has the long prefix
	fetchFrom  string        // server to transfer the prefix from; empty: it is cached or prefilled
	unexpected bool          // no other region would expect the prefix there
}

// evaluate returns a target with its cost for a request. The caller holds r.mu.
func (r *promptTracker) evaluate(now time.Time, slack time.Duration, p Prompt, holders []prefixHolder, t Target) option {
	o := option{Target: t, wait: r.pendingTime(now, t.ID), duration: p.OwnPrefill, cached: hasPrefix(holders, t)}
	o.totalCost = t.Cost + waitCost(o.wait, slack)
	if o.cached {
		o.totalCost -= p.CacheGain
		return o
	}
	if p.FetchTime > 0 {
		o.fetchFrom = fetchSource(now, holders, t)
	}
	if o.fetchFrom != "" {
		o.duration += p.FetchTime
		return o
	}
	o.duration += p.SharedPrefill
	o.unexpected = true
	return o
}

// claimAnnouncement reports whether other regions must be notified that the server chosen for p has
// its long prefix, and records that they are. unexpected is true if no other region would expect
// the prefix there. The caller holds r.mu.
func (r *promptTracker) claimAnnouncement(now time.Time, p Prompt, unexpected bool) bool {
	if p.LongPrefix == "" || p.SharedPrefill < minAnnouncedPrefill || !unexpected && !r.announcementDue(now, p) {
		return false
	}
	r.recordAnnouncement(now, p.LongPrefix)
	return true
}

// announceInterval is the time after which a prefix in use is announced again, well before
// other regions drop its holder.
const announceInterval = prefixTTL / 4

// announcementDue reports whether other regions must be notified of a prefix again: they would
// drop its holder from their records although the prefix is in use here. The caller holds
// r.mu.
func (r *promptTracker) announcementDue(now time.Time, p Prompt) bool {
	return p.FetchTime > 0 && now.Sub(r.announcedAt[p.LongPrefix]) >= announceInterval
}

// recordAnnouncement records a notification of other regions. The caller holds r.mu.
func (r *promptTracker) recordAnnouncement(now time.Time, prefix string) {
	if r.announcedAt == nil || len(r.announcedAt) >= maxTrackedPrefixes {
		r.announcedAt = map[string]time.Time{}
	}
	r.announcedAt[prefix] = now
}

// fetchSource returns the server from which a target transfers a shared prefix: the most recent
// user of the prefix, preferably in the target's own failure domain; empty: no other server
// has the prefix yet.
func fetchSource(now time.Time, holders []prefixHolder, to Target) string {
	best, near := "", false
	for _, h := range holders {
		if h.serverID == to.ID || now.Before(h.readyAt) {
			continue
		}
		if in := h.domain == to.Domain; in || !near {
			best, near = h.serverID, in
		}
	}
	return best
}

// holderIDs returns the ids of the servers that are known to have cached a prefix or to be
// prefilling it.
func (r *promptTracker) holderIDs(now time.Time, prefix string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, h := range r.currentHolders(now, prefix) {
		out = append(out, h.serverID)
	}
	return out
}

// recordRemoteHolder records a notice from another region's owner.
func (r *promptTracker) recordRemoteHolder(now time.Time, h cachedPrefix) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordHolder(h.Prefix, r.currentHolders(now, h.Prefix), prefixHolder{serverID: h.ServerID, lastUsed: now, readyAt: now})
}

// hasPrefix reports whether a target has the prefix of holders. If no holder is known, the home
// server counts as one.
func hasPrefix(holders []prefixHolder, t Target) bool {
	if len(holders) == 0 {
		return t.Home
	}
	return slices.ContainsFunc(holders, func(h prefixHolder) bool { return h.serverID == t.ID })
}

// currentHolders returns the servers that have a prefix or are prefilling it and got a request with
// it within prefixTTL. The result shares its array with holdersByPrefix. The caller holds r.mu.
func (r *promptTracker) currentHolders(now time.Time, prefix string) []prefixHolder {
	return slices.DeleteFunc(r.holdersByPrefix[prefix], func(h prefixHolder) bool { return now.Sub(h.lastUsed) >= prefixTTL })
}

// recordHolder records that a server has cached a prefix or is prefilling it. holders are the
// current holders of the prefix. If added is one of them, it replaces that entry but keeps an
// earlier readyAt: a server that has the prefix does not lose it by another request with it. At
// maxTrackedPrefixes all prefixes are dropped first. The caller holds r.mu.
func (r *promptTracker) recordHolder(prefix string, holders []prefixHolder, added prefixHolder) {
	if prefix == "" {
		return
	}
	if r.holdersByPrefix == nil || len(r.holdersByPrefix) >= maxTrackedPrefixes {
		r.holdersByPrefix = map[string][]prefixHolder{}
	}
	holders = slices.DeleteFunc(holders, func(h prefixHolder) bool {
		if h.serverID == added.serverID && h.readyAt.Before(added.readyAt) {
			added.readyAt = h.readyAt
		}
		return h.serverID == added.serverID
	})
	r.holdersByPrefix[prefix] = append(holders, added)
}

// pendingTime returns the estimated time until a server has prefilled its pending prompts. The
// caller holds r.mu.
func (r *promptTracker) pendingTime(now time.Time, server string) time.Duration {
	list := r.pendingByServer[server]
	for len(list) > 0 && now.Sub(list[0].assignedAt) >= pendingTimeout {
		list = list[1:]
	}
	r.setPending(server, list)
	var sum time.Duration
	for _, prompt := range list {
		sum += prompt.duration
	}
	return sum
}

// promptDone records that the prompt of a request was prefilled, or will not be, so that it is no
// longer pending at the server.
func (r *promptTracker) promptDone(server string, request workKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.DeleteFunc(r.pendingByServer[server], func(prompt pendingPrompt) bool { return prompt.request == request })
	r.setPending(server, list)
}

// setPending replaces the list of a server's pending prompts. The caller holds r.mu.
func (r *promptTracker) setPending(server string, list []pendingPrompt) {
	switch {
	case len(list) == 0:
		delete(r.pendingByServer, server)
	case r.pendingByServer == nil:
		r.pendingByServer = map[string][]pendingPrompt{server: list}
	default:
		r.pendingByServer[server] = list
	}
}
