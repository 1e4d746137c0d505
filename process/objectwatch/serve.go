package objectwatch

import (
	"context"
	"errors"
	"time"

	"bilberrydale/process/peer"
)

// peerRequest requests a list or the changes from another host's follower.
type peerRequest struct {
	List bool     // a list in place of a watch
	From Revision // revision after which a watch returns the changes
	// WaitMS limits the wait for a change, or for the first list.
	WaitMS int64
	// MaxAgeUS ends the wait as soon as the age of the responding host's copy exceeds it.
	// With WaitUntilFresh the wait ends as soon as the age does not exceed it.
	MaxAgeUS       int64
	WaitUntilFresh bool
	// AcceptsCompressed reports that the requesting host decodes Compressed in the response; hosts of
	// earlier versions do not, or do so for lists only.
	AcceptsCompressed bool
}

// peerObject is the encoded form of an Object.
type peerObject[T any] struct {
	Name     string
	Revision Revision
	Value    T
	Deleted  bool
	Error    string // text of Object.Err; empty: none
}

// peerResponse is the response to a peerRequest.
type peerResponse[T any] struct {
	Objects []peerObject[T] // all objects for a list, the changes for a watch
	AsOf    Revision        // revision that Objects leads to
	// AgeUS is the time in microseconds from the last confirmation of the copy to the response: from
	// the latest time up to which the source of the responding host has confirmed that the copy
	// contains every change (see Options.OnConfirmed).
	AgeUS int64
	// AgeAtRequestUS is the time in microseconds from the last confirmation of the copy to the
	// arrival of the request; it is negative if the copy was confirmed later. It does not depend on
	// when the response is sent, because the host may be suspended in between.
	AgeAtRequestUS int64
	HistoryGone    bool   // the changes after peerRequest.From are no longer kept
	Listed         bool   // false: the responding host has no list yet, and only this field is valid
	Compressed     []byte // Objects in compressed form, in place of them
}

// peerMethod returns the method between hosts for a kind of objects.
func peerMethod(kind string) peer.Method { return peer.Method("follow." + kind) }

// Serve answers requests of other hosts from this follower's copy. It has to be called
// before the link starts.
func (f *Follower[T]) Serve(link peer.Link, kind string) {
	link.Handle(peerMethod(kind), func(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
		var req peerRequest
		if err := peer.Unmarshal(payload, &req); err != nil {
			return nil, err
		}
		receivedAt := f.opts.Clock.Now()
		serve := f.serveWatch
		if req.List {
			serve = f.serveList
		}
		resp, confirmedAt, err := serve(ctx, req)
		if err != nil {
			return nil, err
		}
		resp.AgeUS = f.ageMicroseconds(confirmedAt)
		resp.AgeAtRequestUS = receivedAt.Sub(confirmedAt).Microseconds()
		return peer.Marshal(resp)
	})
}

// serveList waits for the first list if necessary: the hosts of a fleet that starts at
// once send their requests before their readers have a list.
func (f *Follower[T]) serveList(ctx context.Context, req peerRequest) (resp peerResponse[T], confirmedAt time.Time, err error) {
	select {
	case <-f.history.listed:
	case <-f.opts.Clock.After(time.Duration(req.WaitMS) * time.Millisecond):
	case <-ctx.Done():
	}
	if req.AcceptsCompressed {
		list, revision, confirmedAt, ok, err := f.history.compressedList()
		return peerResponse[T]{Compressed: list, AsOf: revision, Listed: ok}, confirmedAt, err
	}
	objects, revision, confirmedAt, ok := f.history.list()
	return peerResponse[T]{Objects: encode(objects), AsOf: revision, Listed: ok}, confirmedAt, nil
}

// serveWatch returns the changes after req.From as soon as there are any, or none at the end of
// the wait that req specifies.
func (f *Follower[T]) serveWatch(ctx context.Context, req peerRequest) (resp peerResponse[T], confirmedAt time.Time, err error) {
	end := f.opts.Clock.Now().Add(time.Duration(req.WaitMS) * time.Millisecond)
	for {
		u := f.history.since(req.From)
		now, until := f.opts.Clock.Now(), end
		staleAt := u.confirmedAt.Add(time.Duration(req.MaxAgeUS+1) * time.Microsecond)
		switch {
		case !u.listed: // the first list is expected soon
		case !req.WaitUntilFresh:
			until = earlier(end, staleAt)
		case staleAt.After(now): // the copy is recent enough: respond at once
			until = now
		}
		if len(u.objects) > 0 || u.trimmed || !now.Before(until) {
			return f.watchResponse(req, u)
		}
		select {
		case <-u.changed:
		case <-f.opts.Clock.After(until.Sub(now)):
		case <-ctx.Done():
			return peerResponse[T]{}, u.confirmedAt, nil
		}
	}
}

// watchResponse returns the response to a watch.
func (f *Follower[T]) watchResponse(req peerRequest, u update[T]) (resp peerResponse[T], confirmedAt time.Time, err error) {
	resp = peerResponse[T]{AsOf: u.revision, HistoryGone: u.trimmed, Listed: u.listed}
	if req.AcceptsCompressed && len(u.objects) > 0 {
		resp.Compressed, err = f.history.lastSent.of(u.objects)
	}
	if len(resp.Compressed) == 0 {
		resp.Objects = encode(u.objects)
	}
	return resp, u.confirmedAt, err
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// ageMicroseconds returns the time since confirmedAt.
func (f *Follower[T]) ageMicroseconds(confirmedAt time.Time) int64 {
	return f.opts.Clock.Now().Sub(confirmedAt).Microseconds()
}

// encode converts objects to their encoded form; an error becomes its text.
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

// decode reverses encode.
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
