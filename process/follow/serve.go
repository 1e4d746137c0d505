package follow

import (
	"context"
	"errors"
	"time"

	"bilberrydale/process/peer"
)

// relayRequest asks another host for what it follows.
type peerRequest struct {
	List bool
	From Revision
	// WaitMS bounds the wait for a change, or for the first list.
	WaitMS int64
	// MaxAgeUS ends the wait as soon as the answering host's knowledge is older. With
	// UntilFresh the wait ends as soon as it is not.
	MaxAgeUS       int64
	WaitUntilFresh bool
	// Packs tells that the asking host takes a list in Packed; earlier versions do not.
	AcceptsCompressed bool
}

type peerObject[T any] struct {
	Name     string
	Revision Revision
	Value    T
	Deleted  bool
	Error    string
}

type peerResponse[T any] struct {
	Objects []peerObject[T]
	AsOf    Revision
	AgeUS   int64 // of the answering host's own knowledge, as it answers
	// BeforeUS is from the last proof of that knowledge to the question's arrival; below 0:
	// the proof came later. It does not depend on when the answer leaves: the host may be
	// suspended meanwhile.
	AgeAtRequestUS int64
	HistoryGone    bool
	Listed         bool
	Compressed     []byte // a list, in place of Objects
}

func peerMethod(kind string) peer.Method { return peer.Method("follow." + kind) }

// Serve answers other hosts from this follower's copy. It is called before the
// link starts.
func (f *Follower[T]) Serve(link peer.Link, kind string) {
	link.Handle(peerMethod(kind), func(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
		var q peerRequest
		if err := peer.Unmarshal(payload, &q); err != nil {
			return nil, err
		}
		arrived := f.opts.Clock.Now()
		answer := f.serveWatch
		if q.List {
			answer = f.serveList
		}
		a, proved, err := answer(ctx, q)
		if err != nil {
			return nil, err
		}
		a.AgeUS = f.ageMicroseconds(proved)
		a.AgeAtRequestUS = arrived.Sub(proved).Microseconds()
		return peer.Marshal(a)
	})
}

// relayList waits for the first list: a fleet that starts together asks its readers
// before they know anything.
func (f *Follower[T]) serveList(ctx context.Context, q peerRequest) (a peerResponse[T], proved time.Time, err error) {
	select {
	case <-f.history.listed:
	case <-f.opts.Clock.After(time.Duration(q.WaitMS) * time.Millisecond):
	case <-ctx.Done():
	}
	if q.AcceptsCompressed {
		list, from, proved, ok, err := f.history.compressedList()
		return peerResponse[T]{Compressed: list, AsOf: from, Listed: ok}, proved, err
	}
	objects, from, proved, ok := f.history.list()
	return peerResponse[T]{Objects: encode(objects), AsOf: from, Listed: ok}, proved, nil
}

func (f *Follower[T]) serveWatch(ctx context.Context, q peerRequest) (a peerResponse[T], proved time.Time, err error) {
	end := f.opts.Clock.Now().Add(time.Duration(q.WaitMS) * time.Millisecond)
	for {
		n := f.history.since(q.From)
		now, until := f.opts.Clock.Now(), end
		stale := n.confirmedAt.Add(time.Duration(q.MaxAgeUS+1) * time.Microsecond)
		switch {
		case !n.listed: // it is about to know
		case !q.WaitUntilFresh:
			until = earlier(end, stale)
		case stale.After(now):
			until = now
		}
		if len(n.objects) > 0 || n.trimmed || !now.Before(until) {
			return peerResponse[T]{Objects: encode(n.objects), AsOf: n.revision, HistoryGone: n.trimmed, Listed: n.listed}, n.confirmedAt, nil
		}
		select {
		case <-n.changed:
		case <-f.opts.Clock.After(until.Sub(now)):
		case <-ctx.Done():
			return peerResponse[T]{}, n.confirmedAt, nil
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (f *Follower[T]) ageMicroseconds(proved time.Time) int64 {
	return f.opts.Clock.Now().Sub(proved).Microseconds()
}

func encode[T any](objects []Object[T]) []peerObject[T] {
	out := make([]peerObject[T], len(objects))
	for i, o := range objects {
		out[i] = peerObject[T]{Name: o.Name, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted}
		if o.Err != nil {
			out[i].Error = o.Err.Error()
		}
	}
	return out
}

func decode[T any](objects []peerObject[T]) []Object[T] {
	out := make([]Object[T], len(objects))
	for i, o := range objects {
		out[i] = Object[T]{Name: o.Name, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted}
		if o.Error != "" {
			out[i].Err = errors.New(o.Error)
		}
	}
	return out
}
