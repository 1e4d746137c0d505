// Package batcher batches the items of pipeline stages into calls to backend servers. A
// call has a fixed cost in addition to the cost of its items, so items of many requests,
// and of many entry hosts, share calls. For each service one entry host collects the
// items, and decides which server runs which items and in which order.
//
// Queue makes the decisions. It does no I/O and takes the current time as a parameter.
package batcher

import (
	"sync/atomic"
	"time"

	"bilberrydale/process/directory"
	"bilberrydale/process/residency"
	"bilberrydale/process/serverlimit"
)

// Item is a unit of work of a stage. It may run more than once.
type Item struct {
	RequestID string
	Stage     int      // index of the stage in the request
	Piece     int      // index of the item in its stage
	Key       string   // input key, for items of stages without a preceding stage
	Inputs    []string // handles of the results that it takes as input, for items of other stages
}

// Job is all items of one stage of one request.
type Job struct {
	Items []Item
	// Domain is the failure domain in which the items preferably run, and RemoteBytes
	// the number of bytes that cross domains if they run elsewhere.
	Domain      string
	RemoteBytes int64
	// AllowedRegions are the regions in which the items may run.
	AllowedRegions residency.Set
	// TargetTime is when the results are due; jobs are served in this order. After
	// Deadline the results are useless: items that cannot end by then get TooLate.
	TargetTime, Deadline time.Time
	// Urgent puts the items into the next calls, which carry only items of urgent jobs: each further
	// one would make them longer.
	Urgent bool
	// ResultBytes is the approximate size of the result of one item.
	ResultBytes int64
	// OnResult is called once for each item, with its index in Items and its result or the
	// reason for having none. It must not block or call the Batcher.
	OnResult func(index int, r Result)
	// OnInputsFetched is called once all items are in calls whose servers have fetched
	// their inputs. It may be nil. It must not block.
	OnInputsFetched func()

	pendingItems   []int           // indices of items that are neither done nor in a call
	queuedAt       time.Time       // time of Submit
	failedAttempts int             // calls in which an item of the job failed
	failedServers  map[string]bool // ids of servers that failed on an item
	cancelled      bool
	heldForLocal   bool        // waits for a server of its own failure domain
	fetchedItems   int         // number of items whose inputs have been fetched
	inputsReleased atomic.Bool // see MarkInputsReleased
}

// MarkInputsReleased records that the job's inputs were released. Items that fail after
// that are not retried and end with InputLost. It is safe for concurrent use.
func (j *Job) MarkInputsReleased() { j.inputsReleased.Store(true) }

// Reason says why an item has no result; it is empty if the item has one.
type Reason string

// Reasons for which an item has no result.
const (
	TooLate    Reason = "late"      // the item cannot complete before its deadline
	InputLost  Reason = "gone"      // an input no longer exists
	NoServer   Reason = "no_server" // no server is listed, or none in an allowed region
	Failed     Reason = "failed"    // calls with items of the job failed maxAttempts times
	Cancelled  Reason = "cancelled" // the request was cancelled
	NoCapacity Reason = "no_room"   // the server has no capacity; the item is retried elsewhere or later
)

// Result is the outcome of one item.
type Result struct {
	Handle   string // identifies the result at its server; empty if no result is stored there
	ServerID string // server that holds the result
	Domain   string // failure domain of that server
	Reason   Reason // empty on success
}

// Options configure a service. They change with the configuration. Times are those at a server
// with normal speed; they need not be exact, because a slowdown is estimated for each server.
type Options struct {
	Slots             int           // calls that a server runs concurrently; values below 1 count as 1
	MaxItems          int           // maximum number of items in one call
	CallTime          time.Duration // fixed time of a call
	ItemTime          time.Duration // additional time per item
	ResultMemoryBytes int64         // memory for results at one server; 0: unlimited
	ResultTTL         time.Duration // after which a server drops a result unless it is released
	Limits            Limits        // limits that servers name; nil: they name none
}

// Limits keeps to the limits of calls that servers name. It is implemented by
// serverlimit.Sole.
type Limits interface {
	// WouldAllow reports whether a call may be sent to a server now.
	WouldAllow(serverlimit.Server, *serverlimit.State) bool
	// Allow is WouldAllow, and counts a call if it returns true.
	Allow(serverlimit.Server, *serverlimit.State) bool
}

// withinLimit reports whether a server takes a call now.
func (o *Options) withinLimit(s *directory.Server) bool {
	return o.Limits == nil || o.Limits.WouldAllow(s.Process(), &s.RateLimit)
}

// countCall counts a call against the limit of a server.
func (o *Options) countCall(s *directory.Server) {
	if o.Limits != nil {
		o.Limits.Allow(s.Process(), &s.RateLimit) // allowed, as withinLimit has returned true
	}
}

// slotCount returns the number of concurrent calls of a server, at least 1.
func (o *Options) slotCount() int { return max(o.Slots, 1) }

// expectedCallTime returns the configured time of a call with the given number of items.
func (o *Options) expectedCallTime(items int) time.Duration {
	return o.CallTime + time.Duration(items)*o.ItemTime
}

// maxAttempts bounds how often an item is tried: it is the number of calls with failed items
// after which a job ends. After a crash and a slow server one attempt remains, and an item that
// crashes every server reaches only three of them.
const maxAttempts = 3
