package claim

import (
	"sync"
	"time"

	"bilberrydale/process/clock"
)

// phase is what this process knows of a key.
type phase int

const (
	claiming  phase = iota // the claim is being made
	running                // owned; the request runs
	ended                  // ran; answer may be kept
	lost                   // may have run
	doubtful               // the claim may stand; nothing was dispatched under it
	releasing              // the claim is being given back
	lent                   // a ticket of this host that another host runs
)

// holding is this process's knowledge of one key. Fields are guarded by the
// table's lock; done is closed when the phase changes.
type holding struct {
	body    uint64
	phase   phase
	seq     uint64 // of the claim's record or of the loan
	first   uint64 // lowest seq under which this process tried to claim the key
	part    bool   // an earlier send ran stages that may be repeated
	answer  *Response
	done    chan struct{}
	ticket  *Ticket // nil: claimed on the platform
	lender  string  // host that lent the ticket; empty: minted here
	lentTo  Record  // for lent
	touched time.Time
	listed  bool // stands in the table's order
}

// table holds the keys that this process runs or ran, with the answers, within
// bounds of number, bytes and time.
type table struct {
	mu      sync.Mutex
	clock   clock.Clock
	opts    Options
	byID    map[ID]*holding
	order   []ID  // keys that may be forgotten in time, oldest first
	answers int64 // bytes of the answers kept
	swept   time.Time
}

// A sweep looks at every key: it is rare, and when the table is full it is not
// made for each request that is refused.
const (
	sweepsPerAnswerTime = 8
	minSweep            = time.Second
)

func newTable(clk clock.Clock, opts Options) *table {
	return &table{clock: clk, opts: opts, byID: map[ID]*holding{}}
}

// open returns what is known of id. created is true if the caller now has to
// make the claim: the key is new here or doubtful.
func (t *table) open(id ID, body uint64, seq uint64) (h holding, created, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cur, ok := t.byID[id]
	if !ok {
		t.sweep()
		if len(t.byID) >= t.opts.MaxKeys {
			return holding{}, false, true
		}
		cur = &holding{body: body, seq: seq, first: seq, done: make(chan struct{}), touched: t.clock.Now()}
		t.byID[id] = cur
		return *cur, true, false
	}
	if cur.body != body || cur.phase != doubtful {
		return *cur, false, false
	}
	// A loan is asked for again under its old number, so that the minter
	// knows it; a claim gets a new one and takes the place of the old.
	if cur.ticket == nil {
		cur.seq = seq
	}
	cur.phase, cur.done = claiming, make(chan struct{})
	return *cur, true, false
}

// peek returns what is known of id.
func (t *table) peek(id ID) (holding, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.byID[id]
	if !ok {
		return holding{}, false
	}
	return *h, true
}

// set moves a key to p and wakes those who wait for a change.
func (t *table) set(id ID, p phase, change func(*holding)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.byID[id]
	if !ok {
		return
	}
	h.phase, h.touched = p, t.clock.Now()
	if change != nil {
		change(h)
	}
	closeOnce(h.done)
	if h.inUse() {
		h.done = make(chan struct{})
		return
	}
	if !h.listed {
		h.listed = true
		t.order = append(t.order, id)
	}
	if p == ended && h.answer != nil {
		t.answers += int64(len(h.answer.Body))
		t.trim()
	}
}

// inUse reports whether a request of this process still decides about the key.
func (h *holding) inUse() bool {
	return h.phase == claiming || h.phase == running || h.phase == releasing
}

// drop forgets a key that this process neither owns nor ran.
func (t *table) drop(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, ok := t.byID[id]; ok {
		delete(t.byID, id)
		closeOnce(h.done)
	}
}

func closeOnce(ch chan struct{}) {
	select {
	case <-ch:
	default:
		close(ch)
	}
}

// trim drops the oldest answers over the bound of bytes; the keys stay.
func (t *table) trim() {
	for i := 0; t.answers > t.opts.MaxResponseBytes && i < len(t.order); i++ {
		if h, ok := t.byID[t.order[i]]; ok && h.answer != nil {
			t.answers -= int64(len(h.answer.Body))
			h.answer = nil
		}
	}
}

// sweep forgets keys out of use whose time is over. A ticket's key stays until the
// ticket has expired: until then only this memory keeps it from running twice.
func (t *table) sweep() {
	now := t.clock.Now()
	full := len(t.byID) >= t.opts.MaxKeys
	since := now.Sub(t.swept)
	if since < minSweep || (since < t.opts.ResponseTTL/sweepsPerAnswerTime && !full) {
		return
	}
	t.swept = now
	kept := t.order[:0]
	for _, id := range t.order {
		h, ok := t.byID[id]
		if !ok {
			continue
		}
		young := now.Sub(h.touched) < t.opts.ResponseTTL
		if h.inUse() || young || (h.ticket != nil && !now.After(h.ticket.Expires)) {
			kept = append(kept, id)
			continue
		}
		if h.answer != nil {
			t.answers -= int64(len(h.answer.Body))
		}
		delete(t.byID, id)
	}
	t.order = kept
}
