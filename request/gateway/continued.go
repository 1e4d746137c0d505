package gateway

import (
	"slices"
	"time"

	"bilberrydale/process/directory"
	"bilberrydale/process/errkind"
	"bilberrydale/process/streamwriter"
	"bilberrydale/version/plan"
)

// continues reports whether the client takes a stream up again.
func (x *exchange) continues() bool {
	return x.route.Kind == plan.Stream && (x.clientRequest.LastEventID != "" || x.clientRequest.FirstAttemptID != "")
}

// chooseService sets the service of the request: one of the route's, by weight, or the one that
// began the stream that the client takes up. Such a stream goes on only where its writer is
// known. The error is an errkind.StreamNotContinued.
func (x *exchange) chooseService() error {
	if !x.continues() {
		x.service = x.route.PickService(x.opts.Rand.Float64())
		return nil
	}
	writer, source, err := x.opts.Writers.Resolve(x.r.Context(), streamwriter.Query{FirstAttemptID: x.clientRequest.FirstAttemptID, Route: x.route.Name})
	if err != nil {
		return errkind.New(errkind.StreamNotContinued, "%w", err)
	}
	x.writer, x.service, x.logEntry.WriterSource = writer, writer.Service, source
	if !slices.ContainsFunc(x.route.Targets, func(t plan.Target) bool { return t.Service == writer.Service }) {
		return errkind.New(errkind.StreamNotContinued, "route %s does not lead to service %s any more", x.route.Name, writer.Service)
	}
	return nil
}

// takeUpMargin is the time after the deadline of an attempt for which its client may take the
// stream up: clocks run differently, and messages take time.
const takeUpMargin = 10 * time.Second

// beginStream records the writer of a stream before its first event is sent.
func (x *exchange) beginStream(w streamwriter.Writer) {
	x.writer = w
	if x.route.Resumable {
		x.opts.Writers.Begin(x.clientRequest.AttemptID, x.route.Name, w, x.deadline.Sub(x.opts.Clock.Now())+takeUpMargin)
	}
}

// beginsStream reports whether the request begins a stream that its client may take up again.
func (x *exchange) beginsStream() bool {
	return x.route.Kind == plan.Stream && x.route.Resumable && x.writer.IsZero()
}

// mayBeginAt reports whether the stream of the request may begin at a server. It may if it has
// begun, or cannot be taken up again.
func (x *exchange) mayBeginAt(s *directory.Server) bool {
	return !x.beginsStream() || x.opts.Writers.MayBegin(s.Writer)
}

const (
	// leavingVersionCost is the cost of beginning a stream at a version of which all servers are
	// leaving; with fewer of them it is proportional. Streams had better begin where they can end.
	leavingVersionCost = 60 * time.Millisecond
	// loneServerCost is the cost of beginning a stream at the only server of its version, with
	// which the stream would end.
	loneServerCost = 30 * time.Millisecond
)

// beginCost returns the cost of beginning a stream at a server of a version that runs on the given
// servers.
func beginCost(version directory.WriterServers) time.Duration {
	cost := time.Duration(0)
	if version.Leaving > 0 {
		cost = leavingVersionCost * time.Duration(version.Leaving) / time.Duration(version.Leaving+version.Accepting)
	}
	if version.Accepting == 1 {
		cost += loneServerCost
	}
	return cost
}

// continuedWorthFactor raises the worth of a stream that its client takes up: what the client has
// of it is lost otherwise.
const continuedWorthFactor = 2
