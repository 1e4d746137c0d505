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
func near(list []Target, inputs []Input) []Target {
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
type readings struct {
	mu       sync.Mutex
	byServer map[string][]reading
	byPart   map[string][]holder
	told     map[string]time.Time // when other regions were last told of a part
}

// reading is a prompt that was given to a server and whose answer has not begun.
type reading struct {
	request workKey
	takes   time.Duration
	since   time.Time
}

// holder is a server that has read a part.
type holder struct {
	server string
	domain string    // failure domain; empty: not known
	at     time.Time // of the last request with the part
	ready  time.Time // when it will have read the part
}

const (
	// lostReading is when a prompt no longer counts though nobody told that it was
	// read: the host that would have told is gone, or its message is.
	lostReading = 3 * time.Second
	// partKept is how long a server keeps what it has read: the memory of engines
	// holds a minute's prompts, less under bursts.
	partKept = 20 * time.Second
	// maxParts bounds the parts that are remembered.
	maxParts = 8192
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
	server string
	wait   time.Duration // for other prompts there
	fetch  string        // server from which it gets the request's shared part; empty: none
	// tell: other regions have to hear that it has the request's shared part.
	tell bool
}

// choose returns the cheapest of the targets for a request with some time left to its
// aim. Its prompt counts there from now on.
func (r *readings) choose(now time.Time, request workKey, slack time.Duration, p Prompt, list []Target) choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders, prefixed := r.holders(now, p.LongPrefix), r.holders(now, p.ShortPrefix)
	var best option
	for _, t := range list {
		if o := r.option(now, slack, p, holders, t); best.ID == "" || o.cost < best.cost {
			best = o
		}
	}
	if best.ID == "" {
		return choice{}
	}
	if best.source == "" && p.FetchTime > 0 {
		// Also where the server is believed to have the part: it may have dropped it, and
		// transfers nothing if it has not.
		best.source = cmp.Or(fetchSource(now, holders, best.Target), fetchSource(now, prefixed, best.Target))
	}
	r.set(best.ID, append(r.byServer[best.ID], reading{request, best.takes, now}))
	one := holder{best.ID, best.Domain, now, now.Add(best.wait + best.takes)}
	r.hold(p.LongPrefix, holders, one)
	r.hold(p.ShortPrefix, prefixed, one)
	return choice{server: best.ID, wait: best.wait, fetch: best.source, tell: r.tells(now, p, best.news)}
}

// option is what one target means to a request.
type option struct {
	Target
	cost   time.Duration
	wait   time.Duration // for other prompts there
	takes  time.Duration // to read the prompt, or to get it
	held   bool          // it has the shared part
	source string        // server from which it gets the part; empty: it has it, or reads it
	news   bool          // nobody else would know that it has the part
}

// option is called with r.mu held.
func (r *readings) option(now time.Time, slack time.Duration, p Prompt, holders []holder, t Target) option {
	o := option{Target: t, wait: r.wait(now, t.ID), takes: p.OwnPrefill, held: has(holders, t)}
	o.cost = t.Cost + waitCost(o.wait, slack)
	if o.held {
		o.cost -= p.CacheGain
		return o
	}
	if p.FetchTime > 0 {
		o.source = fetchSource(now, holders, t)
	}
	if o.source != "" {
		o.takes += p.FetchTime
		return o
	}
	o.takes += p.SharedPrefill
	o.news = true
	return o
}

// tells reports whether other regions have to hear that a server has a part, and notes
// that they do. It is called with r.mu held.
func (r *readings) tells(now time.Time, p Prompt, news bool) bool {
	if p.LongPrefix == "" || p.SharedPrefill < leastTold || !news && !r.due(now, p) {
		return false
	}
	r.noteTold(now, p.LongPrefix)
	return true
}

// tellAgain is how long after they were told of a part other regions can still take it
// that some server has it.
const tellAgain = partKept / 4

// due tells whether other regions have to hear of a part again: they would forget who
// has it, though it is used here. It is called with r.mu held.
func (r *readings) due(now time.Time, p Prompt) bool {
	return p.FetchTime > 0 && now.Sub(r.told[p.LongPrefix]) >= tellAgain
}

// noteTold is called with r.mu held.
func (r *readings) noteTold(now time.Time, part string) {
	if r.told == nil || len(r.told) >= maxParts {
		r.told = map[string]time.Time{}
	}
	r.told[part] = now
}

// fetchSource returns the server from which a target gets a shared part: the one that used
// it last, in the target's own failure domain if there is one; empty: none has read it yet.
func fetchSource(now time.Time, holders []holder, to Target) string {
	best, near := "", false
	for _, h := range holders {
		if h.server == to.ID || now.Before(h.ready) {
			continue
		}
		if in := h.domain == to.Domain; in || !near {
			best, near = h.server, in
		}
	}
	return best
}

// known returns the servers that have read a part, as far as is known here.
func (r *readings) known(now time.Time, part string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, h := range r.holders(now, part) {
		out = append(out, h.server)
	}
	return out
}

// heard notes what another region's host has told of a server.
func (r *readings) heard(now time.Time, h heldPart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hold(h.Part, r.holders(now, h.Part), holder{server: h.Server, at: now, ready: now})
}

func has(holders []holder, t Target) bool {
	if len(holders) == 0 {
		return t.Home
	}
	return slices.ContainsFunc(holders, func(h holder) bool { return h.server == t.ID })
}

// holders returns the servers that have read a part. It is called with r.mu held.
func (r *readings) holders(now time.Time, part string) []holder {
	return slices.DeleteFunc(r.byPart[part], func(h holder) bool { return now.Sub(h.at) >= partKept })
}

// hold notes that a server reads a part. It is called with r.mu held.
func (r *readings) hold(part string, holders []holder, one holder) {
	if part == "" {
		return
	}
	if r.byPart == nil || len(r.byPart) >= maxParts {
		r.byPart = map[string][]holder{}
	}
	holders = slices.DeleteFunc(holders, func(h holder) bool {
		if h.server == one.server && h.ready.Before(one.ready) {
			one.ready = h.ready
		}
		return h.server == one.server
	})
	r.byPart[part] = append(holders, one)
}

// wait is how long a server reads what it was given. It is called with r.mu held.
func (r *readings) wait(now time.Time, server string) time.Duration {
	list := r.byServer[server]
	for len(list) > 0 && now.Sub(list[0].since) >= lostReading {
		list = list[1:]
	}
	r.set(server, list)
	var sum time.Duration
	for _, one := range list {
		sum += one.takes
	}
	return sum
}

// done notes that a prompt was read, or will not be.
func (r *readings) done(server string, request workKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.DeleteFunc(r.byServer[server], func(one reading) bool { return one.request == request })
	r.set(server, list)
}

// set is called with r.mu held.
func (r *readings) set(server string, list []reading) {
	switch {
	case len(list) == 0:
		delete(r.byServer, server)
	case r.byServer == nil:
		r.byServer = map[string][]reading{server: list}
	default:
		r.byServer[server] = list
	}
}
