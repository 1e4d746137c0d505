package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// history is what a follower tells others: its copy, the changes of late, and
// when it last made sure of them.
type history[T any] struct {
	mu      sync.Mutex
	objects map[string]Object[T]
	from    Revision
	batches []batch[T]
	oldest  Revision // changes up to here are no longer kept
	proved  time.Time
	changed chan struct{} // closed at each change
}

type batch[T any] struct {
	at      Revision
	objects []Object[T]
}

// keptBatches bounds the changes of late; who needs older ones lists again.
const keptBatches = 256

func (h *history[T]) reset(objects []Object[T], from Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.objects = make(map[string]Object[T], len(objects))
	for _, o := range objects {
		h.objects[o.Name] = o
	}
	h.from, h.oldest, h.batches = from, from, nil
	h.wake()
}

func (h *history[T]) add(objects []Object[T], at Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range objects {
		if o.Deleted {
			delete(h.objects, o.Name)
		} else {
			h.objects[o.Name] = o
		}
	}
	h.from = at
	h.batches = append(h.batches, batch[T]{at, objects})
	if len(h.batches) > keptBatches {
		h.oldest = h.batches[0].at
		h.batches = h.batches[1:]
	}
	h.wake()
}

// wake is called with h.mu held.
func (h *history[T]) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *history[T]) prove(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.proved) {
		h.proved = at
	}
}

// list returns the copy; ok is false before the first list.
func (h *history[T]) list() (objects []Object[T], from Revision, proved time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.objects {
		objects = append(objects, o)
	}
	return objects, h.from, h.proved, h.objects != nil
}

// since returns the changes after from, and a channel that is closed at the
// next change. gone tells that they are no longer kept.
func (h *history[T]) since(from Revision) (objects []Object[T], at Revision, proved time.Time, next chan struct{}, gone bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.batches {
		if b.at > from {
			objects = append(objects, b.objects...)
		}
	}
	return objects, h.from, h.proved, h.changed, h.objects == nil || from < h.oldest
}

// relayRequest asks another host for what it follows.
type relayRequest struct {
	List   bool
	From   Revision
	WaitMS int64
}

type relayObject[T any] struct {
	Name     string
	Revision Revision
	Value    T
	Deleted  bool
	Fault    string
}

type relayAnswer[T any] struct {
	Objects []relayObject[T]
	AsOf    Revision
	AgeUS   int64 // of the answering host's own knowledge, as it answers
	Gone    bool
	Ready   bool
}

func relayMethod(kind string) peer.Method { return peer.Method("follow." + kind) }

// Serve answers other hosts from this follower's copy. It is called before the
// link starts.
func (f *Follower[T]) Serve(link peer.Link, kind string) {
	link.Handle(relayMethod(kind), func(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
		var q relayRequest
		if err := peer.Unmarshal(payload, &q); err != nil {
			return nil, err
		}
		if q.List {
			return peer.Marshal(f.relayList())
		}
		return peer.Marshal(f.relayWatch(ctx, q))
	})
}

func (f *Follower[T]) relayList() relayAnswer[T] {
	objects, from, proved, ok := f.history.list()
	return relayAnswer[T]{Objects: encode(objects), AsOf: from, AgeUS: f.age(proved), Ready: ok}
}

func (f *Follower[T]) relayWatch(ctx context.Context, q relayRequest) relayAnswer[T] {
	end := f.opts.Clock.After(time.Duration(q.WaitMS) * time.Millisecond)
	for {
		objects, at, proved, next, gone := f.history.since(q.From)
		if len(objects) > 0 || gone {
			return relayAnswer[T]{Objects: encode(objects), AsOf: at, AgeUS: f.age(proved), Gone: gone, Ready: true}
		}
		select {
		case <-next:
		case <-end:
			_, at, proved, _, gone := f.history.since(q.From)
			return relayAnswer[T]{AsOf: at, AgeUS: f.age(proved), Gone: gone, Ready: true}
		case <-ctx.Done():
			return relayAnswer[T]{}
		}
	}
}

func (f *Follower[T]) age(proved time.Time) int64 {
	return f.opts.Clock.Now().Sub(proved).Microseconds()
}

func encode[T any](objects []Object[T]) []relayObject[T] {
	out := make([]relayObject[T], len(objects))
	for i, o := range objects {
		out[i] = relayObject[T]{Name: o.Name, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted}
		if o.Err != nil {
			out[i].Fault = o.Err.Error()
		}
	}
	return out
}

func decode[T any](objects []relayObject[T]) []Object[T] {
	out := make([]Object[T], len(objects))
	for i, o := range objects {
		out[i] = Object[T]{Name: o.Name, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted}
		if o.Fault != "" {
			out[i].Err = errors.New(o.Fault)
		}
	}
	return out
}

// Relay is a Source that asks another host first, so that the calls to the
// object API do not grow with the fleet. That host's answer counts as old as
// its own knowledge; when it cannot answer or has not made sure of late, the
// object API is asked itself.
type Relay[T any] struct {
	Kind   string
	Link   peer.Link
	Direct Source[T]
	Clock  clock.Clock
	// MaxAge of the other host's knowledge. What a watch proves is as old as the
	// watch when that is answered, and twice as old before the next one is.
	MaxAge time.Duration
	// Reader returns the host to ask; empty: none.
	Reader func() string

	passedOver time.Time // the other host, until then
	direct     time.Time // the object API is not asked before
	unready    time.Time // since then the other host knows nothing; zero: it does
}

const (
	// relayPassOver is how long a host that could not answer is passed over.
	relayPassOver = 2 * time.Second
	// directPause is kept between direct questions while both the other host and
	// the object API fail: a whole fleet that asks a store which is down, or back
	// just now, costs it its rate. The other host goes on asking and tells.
	directPause = 2 * time.Second
	// unreadyWait is how long a host that knows nothing yet is waited for: it has
	// just started, as a whole fleet may have. If all turned to the store then,
	// hundreds would list thousands of servers beyond its rate, and none would
	// end soon.
	unreadyWait = 1500 * time.Millisecond
)

var (
	errRelay   = errors.New("follow: the other host cannot tell")
	errUnready = errors.New("it knows nothing yet")
)

// List implements Source.
func (r *Relay[T]) List(ctx context.Context, after string) (Answer[T], error) {
	direct := func(ctx context.Context) (Answer[T], error) { return r.Direct.List(ctx, after) }
	if after != "" {
		return direct(ctx) // only the object API gives a part of a list
	}
	return r.ask(ctx, relayRequest{List: true}, direct)
}

// Watch implements Source.
func (r *Relay[T]) Watch(ctx context.Context, from Revision, wait time.Duration) (Answer[T], error) {
	return r.ask(ctx, relayRequest{From: from, WaitMS: wait.Milliseconds()}, func(ctx context.Context) (Answer[T], error) {
		return r.Direct.Watch(ctx, from, wait)
	})
}

// ask asks the other host, or the object API while that one cannot answer.
func (r *Relay[T]) ask(ctx context.Context, q relayRequest, direct func(context.Context) (Answer[T], error)) (Answer[T], error) {
	reader := r.Reader()
	if reader == "" {
		return direct(ctx)
	}
	if r.Clock.Now().Before(r.passedOver) {
		return r.askDirect(ctx, direct)
	}
	asked := r.Clock.Now()
	a, err := r.askReader(ctx, reader, q)
	now := r.Clock.Now()
	if !errors.Is(err, errUnready) {
		r.unready = time.Time{}
	} else if r.unready.IsZero() {
		r.unready = now
	}
	if err == nil || errors.Is(err, ErrHistoryGone) {
		return a, err
	}
	waits := !r.unready.IsZero() && now.Sub(r.unready) < unreadyWait
	if waits || now.Before(r.direct) {
		return a, err
	}
	r.passedOver = now.Add(relayPassOver)
	if now.Sub(asked) > quickAnswer {
		return a, err // the time for this question is over
	}
	return r.askDirect(ctx, direct)
}

// quickAnswer: a host that says at once that it cannot tell leaves time to ask
// the object API.
const quickAnswer = 100 * time.Millisecond

// askDirect asks the object API; if that fails, the other host comes first again.
func (r *Relay[T]) askDirect(ctx context.Context, direct func(context.Context) (Answer[T], error)) (Answer[T], error) {
	a, err := direct(ctx)
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		r.passedOver = time.Time{}
		r.direct = r.Clock.Now().Add(directPause)
	}
	return a, err
}

func (r *Relay[T]) askReader(ctx context.Context, reader string, q relayRequest) (a Answer[T], err error) {
	var got relayAnswer[T]
	err = r.Link.Call(ctx, reader, relayMethod(r.Kind), q, &got)
	if err == nil && got.Gone {
		return a, ErrHistoryGone
	}
	age := time.Duration(got.AgeUS) * time.Microsecond
	switch {
	case err != nil:
	case !got.Ready:
		err = errUnready
	case age > r.MaxAge:
		err = fmt.Errorf("its knowledge is %s old", age)
	default:
		return Answer[T]{Objects: decode(got.Objects), AsOf: got.AsOf, Age: max(age, 0)}, nil
	}
	return a, fmt.Errorf("%w: %s: %w", errRelay, reader, err)
}
