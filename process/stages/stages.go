// Package stages runs the preparatory stages of requests on backend servers. One host,
// the owner, runs the stage work of all hosts of a region (or of all regions): only there
// can items of many requests share calls, and only the owner has the full count of the work
// in flight. It admits a request when every service of its stages has capacity for it, and
// not before: work that was started and cannot finish in time is the most costly waste.
package stages

import (
	"time"

	"bilberrydale/process/batcher"
	"bilberrydale/process/residency"
)

// Stage is one stage of a request.
type Stage struct {
	Service     string
	DependsOn   []int // indexes in Request.Stages of the earlier stages whose results it needs
	Items       int   // number of items to run; 0: the stage is skipped
	ResultBytes int64 // approximate size of the result of one item, in bytes
}

// Request describes the stage work of one request.
type Request struct {
	ID string // unique among the requests of all hosts
	// Round numbers the executions of the request's stages: lost results are recomputed
	// in the next round.
	Round      int
	InputKey   string // key of the input of the stages that depend on no other
	RunDomain  string // failure domain where the request is expected to use the results
	HostDomain string // failure domain of the host that runs the request
	// AllowedRegions restricts where the work may run and which hosts may own it.
	AllowedRegions residency.Set
	Stages         []Stage
	// TargetTime is when the results must be ready for the request to meet its target
	// latency. Deadline is when they become useless.
	TargetTime, Deadline time.Time
	Worth                float64 // weight of one completed request relative to others
	Priority             int     // 0: most urgent, but for PriorityBegun
	// Account is the client account whose share of scarce servers the work uses; requests
	// without an account share that of the empty one.
	Account string
	// Weight is the weight of the account in the division of scarce servers; 0: 1.
	Weight float64
	// Continues reports that the client has part of the response already: the request may wait
	// until its deadline, whatever the line before it.
	Continues bool
	// WithoutShare exempts the request from the division among accounts. It is set for requests
	// from hosts of a build that does not send the account.
	WithoutShare bool
	// Targets are the candidate servers for the request itself, which follows the stages. One is
	// chosen when the results are ready. Prompt describes what that server will prefill.
	Targets []Target
	Prompt  Prompt
}

// PriorityBegun is the priority of streams that their clients take up and that are known to have
// begun. They start at once, and their items go into the next calls, by themselves.
const PriorityBegun = -1

// begun reports whether the request has PriorityBegun.
func (r *Request) begun() bool { return r.Priority <= PriorityBegun }

// Input is the handle of one stage result that the request needs.
type Input struct {
	Handle   string // identifies the result at the server
	ServerID string // server that stores the result
	Service  string // service of that server
	Bytes    int64  // approximate size of the result
	Domain   string `msgpack:"-"` // failure domain of the server; set only on the host that ran the work
}

// Results lists the stage results of a request, the host that owns them, and the server
// chosen to run the request.
type Results struct {
	Inputs    []Input // results of the final stages
	Owner     string  // host that ran the work; empty: this host
	TargetID  string  // server to run on; empty: none was chosen
	FetchFrom string  // server that has cached a prefix of the prompt; empty: none
	RequestID string  // Request.ID and Request.Round of the work
	Round     int
}

// Handles returns the handles of the results.
func (m Results) Handles() []string {
	out := make([]string, len(m.Inputs))
	for i, in := range m.Inputs {
		out[i] = in.Handle
	}
	return out
}

// Error reports why a request's stage work failed.
type Error struct {
	Stage  int            // index in Request.Stages of the stage that failed; 0 too if no single stage did
	Reason batcher.Reason // never empty
	// RetryAfter is the time until capacity may be available again; 0: unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string { return "stage work: " + string(e.Reason) }
