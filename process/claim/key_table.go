package claim

import (
	"sync"
	"time"

	"bilberrydale/process/clock"
)

// keyPhase is the phase of a key in this process.
type keyPhase int

const (
	phaseClaiming  keyPhase = iota // the claim is being written
	phaseRunning                   // claimed by this host; the request is running
	phaseFinished                  // the request ran; its response may be cached
	phaseUnknown                   // the request may have run
	phaseUncertain                 // the claim may be in effect; nothing was dispatched under it
	phaseReleasing                 // the claim is being released
	phaseLent                      // a ticket of this host, lent to another host
)

// keyState is the state of one key in this process. The table's lock guards the
// states in the table; other code works on copies.
type keyState struct {
	body         uint64 // see Key.Body
	phase        keyPhase
	seq          uint64        // number of the claim's record or of the loan
	minSeq       uint64        // lowest seq under which this process tried to claim the key
	partiallyRan bool          // an earlier send ran repeatable stages
	response     *Response     // in phaseFinished; nil if not cached
	changed      chan struct{} // closed when the phase changes
	ticket       *Ticket       // nil if claimed on the platform
	lender       string        // host that lent the ticket; "" if minted here
	loan         Record        // in phaseLent: Owner is the borrower, Seq its number of the loan
	updated      time.Time     // time of the last phase change
	evictable    bool          // listed in the table's evictionOrder
}

// keyTable holds the keys that this process runs or ran, with their responses. The
// number of keys, the bytes of responses and the time are bounded. It is safe
// for concurrent use.
type keyTable struct {
	mu            sync.Mutex // guards keys and the fields below it
	clock         clock.Clock
	opts          Options
	keys          map[ID]*keyState
	evictionOrder []ID      // keys that may expire, oldest first
	responseBytes int64     // total size of the cached response bodies
	lastSweep     time.Time // time of the last sweep that visited the keys
}

// A sweep visits every key, so its frequency is bounded, also when the table is
// full and every new key is refused.
const (
	sweepsPerResponseTTL = 8
	minSweepInterval     = time.Second
)

// newKeyTable returns an empty table.
func newKeyTable(clk clock.Clock, opts Options) *keyTable {
	return &keyTable{clock: clk, opts: opts, keys: map[ID]*keyState{}}
}

// getOrCreate returns the state of id. created is true if the caller has to claim
// the key: it is new here or in phaseUncertain. full is true if the key is new
// and the table has MaxKeys keys; state is then zero. seq is the number of the
// claim or loan that the caller would make.
func (t *keyTable) getOrCreate(id ID, body uint64, seq uint64) (state keyState, created, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cur, ok := t.keys[id]
	if !ok {
		t.sweep()
		if len(t.keys) >= t.opts.MaxKeys {
			return keyState{}, false, true
		}
		cur = &keyState{body: body, seq: seq, minSeq: seq, changed: make(chan struct{}), updated: t.clock.Now()}
		t.keys[id] = cur
		return *cur, true, false
	}
	if cur.body != body || cur.phase != phaseUncertain {
		return *cur, false, false
	}
	// A loan is requested again under its old number, so that the minter
	// recognizes it; a claim gets a new number and supersedes the old one.
	if cur.ticket == nil {
		cur.seq = seq
	}
	cur.phase, cur.changed = phaseClaiming, make(chan struct{})
	return *cur, true, false
}

// get returns the state of id, if the table has it.
func (t *keyTable) get(id ID) (keyState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.keys[id]
	if !ok {
		return keyState{}, false
	}
	return *s, true
}

// setPhase moves a key to phase p, applies update if it is not nil, and wakes the
// requests that wait for a change.
func (t *keyTable) setPhase(id ID, p keyPhase, update func(*keyState)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.keys[id]
	if !ok {
		return
	}
	s.phase, s.updated = p, t.clock.Now()
	if update != nil {
		update(s)
	}
	closeOnce(s.changed)
	if s.inUse() {
		s.changed = make(chan struct{})
		return
	}
	if !s.evictable {
		s.evictable = true
		t.evictionOrder = append(t.evictionOrder, id)
	}
	if p == phaseFinished && s.response != nil {
		t.responseBytes += int64(len(s.response.Body))
		t.evictResponses()
	}
}

// inUse reports whether a request of this process is claiming, running under or
// releasing the key. Such a key is never removed by sweep.
func (s *keyState) inUse() bool {
	return s.phase == phaseClaiming || s.phase == phaseRunning || s.phase == phaseReleasing
}

// remove removes a key that this process neither owns nor ran.
func (t *keyTable) remove(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.keys[id]; ok {
		delete(t.keys, id)
		closeOnce(s.changed)
	}
}

// closeOnce closes ch unless it is closed. The table's lock must be held.
func closeOnce(ch chan struct{}) {
	select {
	case <-ch:
	default:
		close(ch)
	}
}

// evictResponses drops the oldest responses while they exceed MaxResponseBytes.
// Their keys stay. The table's lock must be held.
func (t *keyTable) evictResponses() {
	for i := 0; t.responseBytes > t.opts.MaxResponseBytes && i < len(t.evictionOrder); i++ {
		if s, ok := t.keys[t.evictionOrder[i]]; ok && s.response != nil {
			t.responseBytes -= int64(len(s.response.Body))
			s.response = nil
		}
	}
}

// sweep removes keys that are not in use and were last updated ResponseTTL ago,
// at bounded frequency. The table's lock must be held. A ticket's key stays until
// the ticket has expired: until then only this table keeps the ticket from
// running twice.
func (t *keyTable) sweep() {
	now := t.clock.Now()
	full := len(t.keys) >= t.opts.MaxKeys
	since := now.Sub(t.lastSweep)
	if since < minSweepInterval || (since < t.opts.ResponseTTL/sweepsPerResponseTTL && !full) {
		return
	}
	t.lastSweep = now
	kept := t.evictionOrder[:0]
	for _, id := range t.evictionOrder {
		s, ok := t.keys[id]
		if !ok {
			continue
		}
		recent := now.Sub(s.updated) < t.opts.ResponseTTL
		if s.inUse() || recent || (s.ticket != nil && !now.After(s.ticket.Expires)) {
			kept = append(kept, id)
			continue
		}
		if s.response != nil {
			t.responseBytes -= int64(len(s.response.Body))
		}
		delete(t.keys, id)
	}
	t.evictionOrder = kept
}
