// Package stages has the results made that a request needs before it can run.
// One host collects the stage work of all hosts: only there can items of many
// requests share calls, and only there is it known what is already under way,
// so that a request is begun when all its stages have room for it and not
// before. Work that was begun and cannot be finished in time is the
// most costly waste.
package stages

import (
	"slices"
	"time"

	"bilberrydale/process/batcher"
	"bilberrydale/process/residency"
)

// Stage is one stage of a request.
type Stage struct {
	Service     string
	DependsOn   []int // indexes of the stages whose results it needs
	Items       int   // 0: the stage is left out
	ResultBytes int64 // approximate size of one result
}

// Request is the stage work of one request.
type Request struct {
	ID string
	// Round counts how often the results were made for this request: results
	// that were lost are made again, under the next number.
	Round      int
	InputKey   string // input of the stages that follow no other
	RunDomain  string // failure domain where the results will be used
	HostDomain string // failure domain of the host that runs the request
	// Allowed are the regions in which the work may be done and collected.
	AllowedRegions residency.Set
	Stages         []Stage
	// AimBy is when the results have to be there for the request to keep its
	// target latency; DieBy is when they are of no use any more.
	TargetTime, Deadline time.Time
	Worth                float64 // of the whole request, relative to others
	// Targets are the servers on which the request may run, of which one is chosen
	// when the results are there, and Prompt is what it will read.
	Targets []Target
	Prompt  Prompt
}

// last returns the indexes of the stages that no other stage follows.
func (r *Request) finalStages() []int {
	followed := make([]bool, len(r.Stages))
	for _, s := range r.Stages {
		for _, a := range s.DependsOn {
			followed[a] = true
		}
	}
	var out []int
	for i := range r.Stages {
		if !followed[i] {
			out = append(out, i)
		}
	}
	return out
}

// position is where a stage stands in the request's work.
func (r *Request) position(i int) stagePosition {
	at := stagePosition{depth: r.depth(i)}
	for _, s := range r.Stages {
		at.hasSuccessor = at.hasSuccessor || s.Items > 0 && slices.Contains(s.DependsOn, i)
	}
	return at
}

// depth is the number of stages before a stage, on the longest chain.
func (r *Request) depth(i int) int {
	d := 0
	for _, a := range r.Stages[i].DependsOn {
		n := r.depth(a)
		if r.Stages[a].Items > 0 {
			n++
		}
		d = max(d, n)
	}
	return d
}

// Input is one result that the request needs.
type Input struct {
	Handle   string
	ServerID string // which holds it
	Service  string
	Bytes    int64
	Domain   string `msgpack:"-"` // of the server; known where the work was done
}

// Made are the results that a request needs, and the host that knows of them.
type Results struct {
	Inputs    []Input
	Owner     string // empty: this host
	TargetID  string // id of the server to run on; empty: none was chosen
	FetchFrom string // id of a server that has read a part of the prompt; empty: none
	RequestID string // of the request
	Round     int
}

// Handles returns the names of the results.
func (m Results) Handles() []string {
	out := make([]string, len(m.Inputs))
	for i, in := range m.Inputs {
		out[i] = in.Handle
	}
	return out
}

// Error tells why a request's stage work was not done.
type Error struct {
	Stage  int
	Reason batcher.Reason
	// Ready is when there may be room again; 0: not known.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string { return "stage work: " + string(e.Reason) }
