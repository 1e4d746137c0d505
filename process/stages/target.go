package stages

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bilberrydale/process/balance"
)

// Target is a backend server on which a request may run once its results are made.
type Target struct {
	ID     string
	Domain string        // failure domain
	Cost   time.Duration // of running there, but for results, reading and what was read
	// Home is the server that is likely to have read the shared part of the prompt
	// if nothing is known of it.
	Home bool
}

// near returns the targets with what it costs each that results lie in other failure
// domains.
func withTransferCost(list []Target, inputs []Input) []Target {
	var all int64
	at := map[string]int64{}
	for _, in := range inputs {
		all += in.Bytes
		at[in.Domain] += in.Bytes
	}
	out := slices.Clone(list)
	for i := range out {
		out[i].Cost += balance.RemoteInputCost(all - at[out[i].Domain])
	}
	return out
}

// Prompt is what a server reads of a request.
type Prompt struct {
	LongPrefix    string        // the longest part that other requests share; empty: none
	ShortPrefix   string        // the shared part before it, which more requests share; empty: none
	CacheGain     time.Duration // that a server is worth that has read the part
	SharedPrefill time.Duration // that the part takes to read
	FetchTime     time.Duration // that the part takes to get from another server; 0: it cannot
	OwnPrefill    time.Duration // that the rest takes
}

// readings are the prompts that servers read and have read, of the requests whose
// stage work was done here. All hosts' requests come by this one: each host by itself
// sees too few of them to tell that a server has three long prompts to read, or where
// else a part was read when its home was busy; and what servers report comes after
// the fact.
type promptTracker struct {
	mu              sync.Mutex
	pendingByServer map[string][]pendingPrompt
	holdersByPrefix map[string][]prefixHolder
	announcedAt     map[string]time.Time // when other regions were last told of a part
}

// reading is a prompt that was given to a server and whose answer has not begun.
type pendingPrompt struct {
	request    workKey
	duration   time.Duration
	assignedAt time.Time
}

// holder is a server that has read a part.
type prefixHolder struct {
	serverID string
	domain   string    // failure domain; empty: not known
	lastUsed time.Time // of the last request with the part
	readyAt  time.Time // when it will have read the part
}

const (
	// lostReading is when a prompt no longer counts though nobody told that it was
	// read: the host that would have told is gone, or its message is.
	pendingTimeout = 3 * time.Second
	// partKept is how long a server keeps what it has read: the memory of engines
	// holds a minute's prompts, less under bursts.
	prefixTTL = 20 * time.Second
	// maxParts bounds the parts that are remembered.
	maxTrackedPrefixes = 8192
)

const (
	// waitWeight is what a wait costs that does not make its request late: others
	// wait behind it, and its results fill their servers' room meanwhile.
	waitWeight = 0.3
	// slackShare of the time to a request's aim may be spent on waiting: what a
	// server still has to read is only estimated.
	slackShare = 0.5
)

// waitCost is what a wait costs a request that has some time left to its aim. The
// whole wait counts only where it would make the request late: a part that is read
// again elsewhere takes another server's time.
func waitCost(wait, slack time.Duration) time.Duration {
	cost := time.Duration(waitWeight * float64(wait))
	if over := wait - time.Duration(slackShare*float64(slack)); slack > 0 && over > 0 {
		cost += time.Duration((1 - waitWeight) * float64(over))
	}
	return cost
}

// choice is the server on which a request runs; empty: there is none.
type choice struct {
	serverID  string
	wait      time.Duration // for other prompts there
	fetchFrom string        // server from which it gets the request's shared part; empty: none
	// tell: other regions have to hear that it has the request's shared part.
	announce bool
}

// choose returns the cheapest of the targets for a request with some time left to its
// aim. Its prompt counts there from now on.
func (r *promptTracker) choose(now time.Time, request workKey, slack time.Duration, p Prompt, list []Target) choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders, prefixed := r.currentHolders(now, p.LongPrefix), r.currentHolders(now, p.ShortPrefix)
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
		// Also where the server is believed to have the part: it may have dropped it, and
		// transfers nothing if it has not.
		best.fetchFrom = cmp.Or(fetchSource(now, holders, best.Target), fetchSource(now, prefixed, best.Target))
	}
	r.setPending(best.ID, append(r.pendingByServer[best.ID], pendingPrompt{request, best.duration, now}))
	one := prefixHolder{best.ID, best.Domain, now, now.Add(best.wait + best.duration)}
	r.recordHolder(p.LongPrefix, holders, one)
	r.recordHolder(p.ShortPrefix, prefixed, one)
	return choice{serverID: best.ID, wait: best.wait, fetchFrom: best.fetchFrom, announce: r.claimAnnouncement(now, p, best.unexpected)}
}

// option is what one target means to a request.
type option struct {
	Target
	totalCost  time.Duration
	wait       time.Duration // for other prompts there
	duration   time.Duration // to read the prompt, or to get it
	cached     bool          // it has the shared part
	fetchFrom  string        // server from which it gets the part; empty: it has it, or reads it
	unexpected bool          // nobody else would know that it has the part
}

// option is called with r.mu held.
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

// tells reports whether other regions have to hear that a server has a part, and notes
// that they do. It is called with r.mu held.
func (r *promptTracker) claimAnnouncement(now time.Time, p Prompt, news bool) bool {
	if p.LongPrefix == "" || p.SharedPrefill < minAnnouncedPrefill || !news && !r.announcementDue(now, p) {
		return false
	}
	r.recordAnnouncement(now, p.LongPrefix)
	return true
}

// tellAgain is how long after they were told of a part other regions can still take it
// that some server has it.
const announceInterval = prefixTTL / 4

// due tells whether other regions have to hear of a part again: they would forget who
// has it, though it is used here. It is called with r.mu held.
func (r *promptTracker) announcementDue(now time.Time, p Prompt) bool {
	return p.FetchTime > 0 && now.Sub(r.announcedAt[p.LongPrefix]) >= announceInterval
}

// noteTold is called with r.mu held.
func (r *promptTracker) recordAnnouncement(now time.Time, part string) {
	if r.announcedAt == nil || len(r.announcedAt) >= maxTrackedPrefixes {
		r.announcedAt = map[string]time.Time{}
	}
	r.announcedAt[part] = now
}

// fetchSource returns the server from which a target gets a shared part: the one that used
// it last, in the target's own failure domain if there is one; empty: none has read it yet.
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

// known returns the servers that have read a part, as far as is known here.
func (r *promptTracker) holderIDs(now time.Time, part string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, h := range r.currentHolders(now, part) {
		out = append(out, h.serverID)
	}
	return out
}

// heard notes what another region's host has told of a server.
func (r *promptTracker) recordRemoteHolder(now time.Time, h cachedPrefix) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordHolder(h.Prefix, r.currentHolders(now, h.Prefix), prefixHolder{serverID: h.ServerID, lastUsed: now, readyAt: now})
}

func hasPrefix(holders []prefixHolder, t Target) bool {
	if len(holders) == 0 {
		return t.Home
	}
	return slices.ContainsFunc(holders, func(h prefixHolder) bool { return h.serverID == t.ID })
}

// holders returns the servers that have read a part. It is called with r.mu held.
func (r *promptTracker) currentHolders(now time.Time, part string) []prefixHolder {
	return slices.DeleteFunc(r.holdersByPrefix[part], func(h prefixHolder) bool { return now.Sub(h.lastUsed) >= prefixTTL })
}

// hold notes that a server reads a part. It is called with r.mu held.
func (r *promptTracker) recordHolder(part string, holders []prefixHolder, one prefixHolder) {
	if part == "" {
		return
	}
	if r.holdersByPrefix == nil || len(r.holdersByPrefix) >= maxTrackedPrefixes {
		r.holdersByPrefix = map[string][]prefixHolder{}
	}
	holders = slices.DeleteFunc(holders, func(h prefixHolder) bool {
		if h.serverID == one.serverID && h.readyAt.Before(one.readyAt) {
			one.readyAt = h.readyAt
		}
		return h.serverID == one.serverID
	})
	r.holdersByPrefix[part] = append(holders, one)
}

// wait is how long a server reads what it was given. It is called with r.mu held.
func (r *promptTracker) pendingTime(now time.Time, server string) time.Duration {
	list := r.pendingByServer[server]
	for len(list) > 0 && now.Sub(list[0].assignedAt) >= pendingTimeout {
		list = list[1:]
	}
	r.setPending(server, list)
	var sum time.Duration
	for _, one := range list {
		sum += one.duration
	}
	return sum
}

// done notes that a prompt was read, or will not be.
func (r *promptTracker) promptDone(server string, request workKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.DeleteFunc(r.pendingByServer[server], func(one pendingPrompt) bool { return one.request == request })
	r.setPending(server, list)
}

// set is called with r.mu held.
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
