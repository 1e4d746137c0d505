package bodylimit

import (
	"errors"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// freeUploadBytes of each body are not counted, so that usual requests take no lock and wait
	// for nobody.
	freeUploadBytes = 8 << 10
	// memoryShare of the memory of a process is for bodies of requests, and as much for those of
	// responses.
	memoryShare = 1.0 / 20
	// defaultUploadBytes is for them if the memory is not known, minUploadBytes if it is small.
	defaultUploadBytes = 16 << 20
	minUploadBytes     = 8 << 20
	// recheckInterval is the time between two looks at the progress of others while a body waits.
	recheckInterval = 100 * time.Millisecond
	// maxRecheckGap is the time between two looks after which this process has been suspended, or had no
	// processor time.
	maxRecheckGap = 3 * recheckInterval
	// maxWaitingUploads bounds the bodies that wait without any counted bytes: freeUploadBytes of each are
	// in memory. Others that wait are bounded by the bytes that they hold.
	maxWaitingUploads = 1024
	// shortBytes are the counted bytes of a body of unknown length while it passes for a short one.
	shortBytes = 8 << 10
	// spareBytes is the size of a block for a body that has no more bytes, but has not ended.
	spareBytes = 512
)

// Errors of Uploads.Read. The body is not to be read any more after them.
var (
	ErrTooLarge = errors.New("the body is larger than allowed")
	ErrStalled  = errors.New("the body was given up for others that make progress")
	ErrLate     = errors.New("the body did not arrive in time")
	ErrNoRoom   = errors.New("the bodies of other requests left no room in time") // or too many wait for it
)

// Uploads reads bodies of clients' requests into memory. All of them together are bounded: memory is
// reserved before it is taken, and what cannot be had yet is waited for, while the client is not
// read from. While one waits, those that make no progress are given up. It is safe for concurrent
// use.
type Uploads struct {
	mu      sync.Mutex // guards all fields
	max     int64
	total   int64                // bytes reserved
	uploads map[*upload]struct{} // with bytes that are counted
	waiting []*upload            // for room, in order of arrival
	recheck *time.Timer          // runs while some wait; nil before the first
	looked  time.Time            // last look at those that wait; zero: none waits
	givenUp int64                // since the start
	noRoom  int64                // since the start
}

// upload is a body with bytes that are counted. Its fields are guarded by the mu of Uploads.
type upload struct {
	transfer
	claim
	known     bool // the length is
	interrupt func()
	wants     int64 // bytes that it waits for; 0: none
	waitBegan time.Time
	granted   chan struct{} // closed when it gets them
	givenUp   bool
	ended     bool // it is whole or has failed
}

// NewUploads returns Uploads for a process with a limit of memory in bytes; 0: not known.
func NewUploads(memoryBytes int64) *Uploads {
	limit := int64(defaultUploadBytes)
	if memoryBytes > 0 {
		limit = max(int64(memoryShare*float64(memoryBytes)), minUploadBytes)
	}
	return &Uploads{max: limit, uploads: map[*upload]struct{}{}}
}

// Upload describes a body to be read.
type Upload struct {
	Body    io.Reader
	Length  int64         // in bytes; negative: not known
	Limit   int64         // in bytes, of the length
	Timeout time.Duration // for the whole body
	// Interrupt ends a Read of Body at once, and all later ones. It must not block.
	Interrupt func()
}

// expected returns the most bytes that the body can have. One more than allowed is read, to notice it.
func (r *Upload) expected() int64 {
	if r.Length >= 0 {
		return r.Length
	}
	return r.Limit + 1
}

// Read reads a body to its end. The caller releases it. The error is ErrTooLarge, ErrStalled, ErrLate
// or ErrNoRoom, or that of the body.
func (u *Uploads) Read(r Upload) (*Body, error) {
	if r.Length > r.Limit {
		return nil, ErrTooLarge
	}
	late := make(chan struct{})
	timer := time.AfterFunc(r.Timeout, func() {
		close(late)
		r.Interrupt()
	})
	b := &uploadReader{uploads: u, request: r, late: late, data: &Body{}}
	err := b.readAll()
	if !timer.Stop() && err == nil {
		err = ErrLate // the interrupt may come at any time
	}
	if b.upload != nil && !u.end(b.upload) && err == nil {
		err = ErrStalled
	}
	if err != nil {
		b.release()
		return nil, b.explain(err)
	}
	b.data.release = b.release
	return b.data, nil
}

// begin adds a body that may need a number of bytes.
func (u *Uploads) begin(need int64, r Upload) *upload {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.max = max(u.max, r.Limit+blockBytes) // the largest body must fit
	now := time.Now()
	b := &upload{transfer: transfer{began: now, progressAt: now}, claim: claim{need: need}, known: r.Length >= 0, interrupt: r.Interrupt}
	u.uploads[b] = struct{}{}
	return b
}

// progress records bytes that have arrived.
func (u *Uploads) progress(b *upload, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	b.bytes += int64(n)
	b.progressAt = time.Now()
}

// end records that a body is whole or has failed. It returns false if it was given up.
func (u *Uploads) end(b *upload) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	b.need, b.ended = 0, true
	u.dispatch(time.Now())
	return !b.givenUp
}

// isGivenUp reports whether a body was given up.
func (u *Uploads) isGivenUp(b *upload) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return b.givenUp
}

// release gives the memory of a body back. It may be called once.
func (u *Uploads) release(b *upload) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total -= b.held
	delete(u.uploads, b)
	u.dispatch(time.Now())
}

// reserve counts memory that a body is about to take, and waits for it until late is closed.
func (u *Uploads) reserve(b *upload, n int64, late <-chan struct{}) error {
	u.mu.Lock()
	if b.givenUp {
		u.mu.Unlock()
		return ErrStalled
	}
	if u.fits(b, n) {
		u.take(b, n)
		u.mu.Unlock()
		return nil
	}
	if b.held == 0 && len(u.waiting) >= maxWaitingUploads {
		u.noRoom++
		u.mu.Unlock()
		return ErrNoRoom
	}
	b.wants, b.waitBegan, b.granted = n, time.Now(), make(chan struct{})
	u.waiting = append(u.waiting, b)
	u.dispatch(b.waitBegan)
	u.mu.Unlock()
	select {
	case <-b.granted:
		return nil
	case <-late:
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if b.wants > 0 {
		u.stopWaiting(b)
		u.noRoom++
	}
	return ErrNoRoom
}

// expected returns the bytes that the body is likely to need. One of unknown length is taken for a short
// one while it is.
func (b *upload) expected() int64 {
	if b.known || b.held >= shortBytes {
		return b.need
	}
	return min(b.need, shortBytes)
}

// take counts n bytes for a body.
func (u *Uploads) take(b *upload, n int64) {
	b.held += n
	b.need -= n
	u.total += n
}

// stopWaiting ends the wait of a body. The time does not count as its own.
func (u *Uploads) stopWaiting(b *upload) {
	now := time.Now()
	b.began = b.began.Add(now.Sub(b.waitBegan))
	b.progressAt = now
	b.wants = 0
	u.waiting = slices.DeleteFunc(u.waiting, func(w *upload) bool { return w == b })
}

// fits reports whether a body can have n more bytes now, so that all can still become whole.
func (u *Uploads) fits(b *upload, n int64) bool {
	return u.safeWith(b, n, u.max-u.total, func(*upload) bool { return true })
}

// safeWith reports whether b can have n of the free bytes, so that the bodies for which counts returns
// true can become whole, and those that need less than b do not have to wait for it. The one that is
// the closest to its end can always go on.
func (u *Uploads) safeWith(b *upload, n, free int64, counts func(*upload) bool) bool {
	if free < n {
		return false
	}
	claims := make([]claim, 0, len(u.uploads))
	expected := make([]int64, 0, len(u.uploads))
	closest := true
	for other := range u.uploads {
		c := other.claim
		switch {
		case !counts(other):
			continue
		case other == b:
			c.held += n
			c.need -= n
		case other.givenUp:
			c.need = 0 // it only gives back
		default:
			closest = closest && (other.need == 0 || b.need <= other.need)
			expected = append(expected, other.expected())
		}
		claims = append(claims, c)
	}
	return (closest || free-n >= reservedBefore(b.expected(), expected)) && safe(free-n, claims)
}

// dispatch gives room to bodies that wait, those that are expected to need the least first, and gives
// others up for them. The caller holds u.mu.
func (u *Uploads) dispatch(now time.Time) {
	defer u.scheduleRecheck(now)
	suspended := u.excuseSuspension(now)
	for len(u.waiting) > 0 {
		first := u.firstWaiting((*upload).expected)
		closest := u.firstWaiting(func(b *upload) int64 { return b.need })
		switch {
		case u.fits(first, first.wants):
			u.grant(first)
		case u.fits(closest, closest.wants):
			u.grant(closest)
		case suspended:
			return
		default:
			u.giveUpFor(first, now)
			return
		}
	}
}

// excuseSuspension reports whether the process was suspended since the last look. The time does not count as
// the bodies' own: nobody read them. The caller holds u.mu.
func (u *Uploads) excuseSuspension(now time.Time) bool {
	gap := now.Sub(u.looked)
	if u.looked.IsZero() || gap <= maxRecheckGap {
		return false
	}
	for b := range u.uploads {
		if b.wants == 0 {
			b.began, b.progressAt = earlier(b.began.Add(gap), now), earlier(b.progressAt.Add(gap), now)
		}
	}
	return true
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// firstWaiting returns the waiting body that needs the least. Of equal ones it is the newest: its client has
// the most time left.
func (u *Uploads) firstWaiting(need func(*upload) int64) *upload {
	first := u.waiting[len(u.waiting)-1]
	for _, b := range slices.Backward(u.waiting) {
		if need(b) < need(first) {
			first = b
		}
	}
	return first
}

// grant ends the wait of a body with the room that it wants.
func (u *Uploads) grant(b *upload) {
	u.take(b, b.wants)
	u.stopWaiting(b)
	close(b.granted)
}

// scheduleRecheck looks again after recheckInterval if bodies wait. The caller holds u.mu.
func (u *Uploads) scheduleRecheck(now time.Time) {
	u.looked = now
	if len(u.waiting) == 0 {
		u.looked = time.Time{}
	}
	switch {
	case len(u.waiting) == 0 && u.recheck != nil:
		u.recheck.Stop()
	case len(u.waiting) == 0:
	case u.recheck == nil:
		u.recheck = time.AfterFunc(recheckInterval, func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.dispatch(time.Now())
		})
	default:
		u.recheck.Reset(recheckInterval)
	}
}

// giveUpFor gives up bodies without progress until the wish of another one fits without them. The
// caller holds u.mu.
func (u *Uploads) giveUpFor(b *upload, now time.Time) {
	for {
		free := u.max
		var others []*upload
		var transfers []transfer
		for other := range u.uploads {
			if other.givenUp {
				continue
			}
			free -= other.held
			if other.wants == 0 && !other.ended {
				others, transfers = append(others, other), append(transfers, other.transfer)
			}
		}
		if u.safeWith(b, b.wants, free, func(other *upload) bool { return !other.givenUp }) {
			return
		}
		i := leastHopeful(transfers, now)
		if i < 0 {
			return
		}
		others[i].givenUp = true
		others[i].interrupt()
		u.givenUp++
	}
}

// UploadStats are figures for operators.
type UploadStats struct {
	Bytes    int64 // reserved now
	MaxBytes int64
	Waiting  int   // bodies that wait for room now
	GivenUp  int64 // bodies given up for others, since the start
	NoRoom   int64 // bodies that got no room in time, since the start
}

// Stats returns the current figures.
func (u *Uploads) Stats() UploadStats {
	u.mu.Lock()
	defer u.mu.Unlock()
	return UploadStats{Bytes: u.total, MaxBytes: u.max, Waiting: len(u.waiting), GivenUp: u.givenUp, NoRoom: u.noRoom}
}
