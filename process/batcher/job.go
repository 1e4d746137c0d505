// Package batcher gives the items of a stage to its backend servers in calls
// of several. A call costs a fixed time whatever its size, so items of many
// requests, and of many hosts, share calls: one host collects the items of a
// service and decides which server takes which, in which order.
//
// The decisions (Queue) take their time as an input and use no network.
package batcher

import (
	"sync/atomic"
	"time"

	"bilberrydale/process/residency"
)

// Item is one piece of work of a stage. It may be made more than once.
type Item struct {
	RequestID string
	Stage     int
	Piece     int
	Key       string   // input, for stages that follow no other
	Inputs    []string // handles of the results it needs, otherwise
}

// Job is all items of one stage of one request.
type Job struct {
	Items []Item
	// Domain is the failure domain where the items are best made, and AwayBytes
	// is what crosses domains if they are made elsewhere.
	Domain      string
	RemoteBytes int64
	// Allowed are the regions in which the items may be made.
	AllowedRegions residency.Set
	// AimBy is when the results should be there: jobs are served in this order.
	// DieBy is when they are of no use any more.
	TargetTime, Deadline time.Time
	// ItemBytes is the approximate size of one result.
	ResultBytes int64
	// Done is called once for each item with its result or the reason why
	// there is none. It must not block.
	OnResult func(index int, r Result)
	// Fetched is called when all items are with servers that have fetched their inputs;
	// nil: nobody wants to know. It must not block.
	OnInputsFetched func()

	next      []int // items neither done nor in a call
	since     time.Time
	attempts  int
	failedOn  map[string]bool // servers that failed on an item
	cancelled bool
	held      bool        // waits for a server of its own failure domain
	fetched   int         // items whose inputs were fetched
	spent     atomic.Bool // its inputs were given up
}

// Spend notes that the job's inputs are given up: items that fail from now on end with
// InputGone at once. It may be called at any time.
func (j *Job) MarkInputsReleased() { j.spent.Store(true) }

// Reason tells why an item has no result; empty: it has one.
type Reason string

// Reasons.
const (
	TooLate    Reason = "late"      // it could not be made in time
	InputLost  Reason = "gone"      // a result that it needs no longer exists
	NoServer   Reason = "no_server" // no server of the service can be reached
	Failed     Reason = "failed"    // servers failed on it too often
	Cancelled  Reason = "cancelled" // the request is over
	NoCapacity Reason = "no_room"   // the server had no room for the result; made elsewhere or later
)

// Result is the outcome of one item.
type Result struct {
	Handle   string // names the result at its server; empty: none
	ServerID string // which made it
	Domain   string // failure domain of that server
	Reason   Reason
}

// Options describe a service; they follow the configuration in force.
type Options struct {
	Slots             int // calls that a server works on at once; at least 1
	MaxItems          int // items of one call
	CallTime          time.Duration
	ItemTime          time.Duration
	ResultMemoryBytes int64 // for results at one server; 0: not bounded
	ResultTTL         time.Duration
}

func (o *Options) slots() int { return max(o.Slots, 1) }

func (o *Options) expected(items int) time.Duration {
	return o.CallTime + time.Duration(items)*o.ItemTime
}

// maxAttempts bounds how often an item is given to servers: a crash and a slow
// server in a row still leave one good try, and an item that breaks every
// server that takes it stops after three.
const maxAttempts = 3
