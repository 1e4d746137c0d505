package follow

import (
	"context"
	"errors"
	"time"

	"bilberrydale/process/peer"
)

// relayRequest asks another host for what it follows.
type relayRequest struct {
	List bool
	From Revision
	// WaitMS bounds the wait for a change, or for the first list.
	WaitMS int64
	// MaxAgeUS ends the wait as soon as the answering host's knowledge is older. With
	// UntilFresh the wait ends as soon as it is not.
	MaxAgeUS   int64
	UntilFresh bool
	// Packs tells that the asking host takes a list in Packed; earlier versions do not.
	Packs bool
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
	// BeforeUS is from the last proof of that knowledge to the question's arrival; below 0:
	// the proof came later. It does not depend on when the answer leaves: the host may be
	// suspended meanwhile.
	BeforeUS int64
	Gone     bool
	Ready    bool
	Packed   []byte // a list, in place of Objects
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
		arrived := f.opts.Clock.Now()
		answer := f.relayWatch
		if q.List {
			answer = f.relayList
		}
		a, proved, err := answer(ctx, q)
		if err != nil {
			return nil, err
		}
		a.AgeUS = f.age(proved)
		a.BeforeUS = arrived.Sub(proved).Microseconds()
		return peer.Marshal(a)
	})
}

// relayList waits for the first list: a fleet that starts together asks its readers
// before they know anything.
func (f *Follower[T]) relayList(ctx context.Context, q relayRequest) (a relayAnswer[T], proved time.Time, err error) {
	select {
	case <-f.history.listed:
	case <-f.opts.Clock.After(time.Duration(q.WaitMS) * time.Millisecond):
	case <-ctx.Done():
	}
	if q.Packs {
		list, from, proved, ok, err := f.history.pack()
		return relayAnswer[T]{Packed: list, AsOf: from, Ready: ok}, proved, err
	}
	objects, from, proved, ok := f.history.list()
	return relayAnswer[T]{Objects: encode(objects), AsOf: from, Ready: ok}, proved, nil
}

func (f *Follower[T]) relayWatch(ctx context.Context, q relayRequest) (a relayAnswer[T], proved time.Time, err error) {
	end := f.opts.Clock.Now().Add(time.Duration(q.WaitMS) * time.Millisecond)
	for {
		n := f.history.since(q.From)
		now, until := f.opts.Clock.Now(), end
		stale := n.proved.Add(time.Duration(q.MaxAgeUS+1) * time.Microsecond)
		switch {
		case !n.listed: // it is about to know
		case !q.UntilFresh:
			until = earlier(end, stale)
		case stale.After(now):
			until = now
		}
		if len(n.objects) > 0 || n.gone || !now.Before(until) {
			return relayAnswer[T]{Objects: encode(n.objects), AsOf: n.at, Gone: n.gone, Ready: n.listed}, n.proved, nil
		}
		select {
		case <-n.next:
		case <-f.opts.Clock.After(until.Sub(now)):
		case <-ctx.Done():
			return relayAnswer[T]{}, n.proved, nil
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
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
