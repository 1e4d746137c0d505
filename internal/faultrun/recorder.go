// Package faultrun checks the delivery guarantees of entry hosts under injected
// faults. It compares the responses that callers received with the executions
// that the backend servers recorded.
package faultrun

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"sync"
	"text/tabwriter"
)

// Ran is the statement of a response on whether the operation was executed.
type Ran string

// Values of Ran. RanNone means that no response arrived.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
	RanNone    Ran = ""
)

// Response is the result of sending an operation once. Its field names appear
// in Report.Examples and therefore stay.
type Response struct {
	// Sent is the token that identifies this send at the backend servers: the
	// operation's token if an idempotency key links its sends, else a token of
	// its own.
	Sent string
	// Belied is true if the response said "not run" although a backend server
	// had by then started a stage for the token Sent.
	Belied bool
	Whole  bool   // complete by the rules that a caller applies
	Token  string // token found in the body
	Right  bool   // the body is the expected one
	Ran    Ran    // statement on execution in an error response
	Kind   string // kind of an error response, or of a connection failure
}

// Operation is one operation of a caller with the responses to all of its sends.
type Operation struct {
	Token      string // identifies the operation in its body
	Route      string // name of the route
	Repeatable bool   // whether it may be executed more than once
	Responses  []Response
}

// Recorder collects the operations of callers and the executions by backend
// servers in a run. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex      // guards the fields below
	received   map[string]bool // by token: a backend server started a stage
	executions map[string]int  // by token
	operations []Operation
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{received: map[string]bool{}, executions: map[string]int{}}
}

// RecordReceived records that a backend server started any stage of an operation.
func (rec *Recorder) RecordReceived(token string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.received[token] = true
}

// RecordExecution records that a backend server started the stage that has the
// operation's effect.
func (rec *Recorder) RecordExecution(token string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.executions[token]++
}

// Received reports whether a backend server started any stage of the operation
// with the token.
func (rec *Recorder) Received(token string) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.received[token]
}

// Executions returns how many times the operation with the token was executed.
func (rec *Recorder) Executions(token string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.executions[token]
}

// RecordOperation records an operation after its last response.
func (rec *Recorder) RecordOperation(op Operation) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.operations = append(rec.operations, op)
}

// Violations counts violated guarantees. All counts have to be 0. The JSON names and
// the rows of Report.Print keep older names: "doubled" for Duplicated, "cut" for
// Truncated.
type Violations struct {
	Lost          int `json:"lost"`            // reported as completed, never executed
	Duplicated    int `json:"doubled"`         // executed more than once although not repeatable
	Misdelivered  int `json:"misdelivered"`    // response of another operation
	WronglyNotRun int `json:"not_run_but_ran"` // reported as not run although a backend server started a stage of it
	Truncated     int `json:"cut"`             // presented as complete, but the body is not the expected one, as of a truncated response
}

// Total returns the sum of all counts.
func (v Violations) Total() int {
	return v.Lost + v.Duplicated + v.Misdelivered + v.WronglyNotRun + v.Truncated
}

// Report is the result of a run.
type Report struct {
	Seed       uint64         `json:"seed"`
	Operations int            `json:"operations"`
	Sends      int            `json:"sends"`
	Completed  int            `json:"completed"`          // operations with a complete and correct response
	Unknown    int            `json:"unknown"`            // operations whose last response left execution unknown
	NotRun     int            `json:"not_run"`            // operations whose last response said "not run"
	NoAnswer   int            `json:"no_answer"`          // operations whose last send got no response: the entry host was killed
	Faults     map[string]int `json:"faults"`             // injected faults by name
	Kinds      map[string]int `json:"kinds"`              // by Response.Kind: responses that are neither complete nor violations
	Violations Violations     `json:"broken"`             // the JSON name is an older one
	Examples   []string       `json:"examples,omitempty"` // first violations
}

// maxExamples limits Report.Examples.
const maxExamples = 10

// Check compares the responses with the executions and returns the report.
func (rec *Recorder) Check(seed uint64, faults map[string]int) Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := Report{Seed: seed, Faults: faults, Kinds: map[string]int{}, Operations: len(rec.operations)}
	for i := range rec.operations {
		rec.checkOperation(&r, &rec.operations[i])
	}
	return r
}

// checkOperation adds the outcome and the violations of one operation to r.
func (rec *Recorder) checkOperation(r *Report, op *Operation) {
	completed := false
	for i := range op.Responses {
		r.Sends++
		completed = rec.checkResponse(r, op, &op.Responses[i]) || completed
	}
	last := op.Responses[len(op.Responses)-1]
	switch {
	case completed:
		r.Completed++
	case last.Ran == RanNo:
		r.NotRun++
		if rec.received[last.Sent] {
			rec.addViolation(r, &r.Violations.WronglyNotRun, "said not run", op)
		}
	case last.Ran == RanNone:
		r.NoAnswer++
	default:
		r.Unknown++
	}
}

// checkResponse checks one response and returns whether it is complete and correct.
func (rec *Recorder) checkResponse(r *Report, op *Operation, resp *Response) bool {
	n := rec.executions[resp.Sent]
	switch {
	case n > 1 && !op.Repeatable:
		rec.addViolation(r, &r.Violations.Duplicated, "doubled", op)
	case resp.Whole && resp.Token != resp.Sent:
		rec.addViolation(r, &r.Violations.Misdelivered, "misdelivered", op)
	case resp.Whole && !resp.Right:
		rec.addViolation(r, &r.Violations.Truncated, "cut", op)
	case resp.Whole && n == 0:
		rec.addViolation(r, &r.Violations.Lost, "lost", op)
	case resp.Belied:
		rec.addViolation(r, &r.Violations.WronglyNotRun, "said not run", op)
	case resp.Whole:
		return true
	default:
		r.Kinds[resp.Kind]++
	}
	return false
}

// addViolation increments count, a field of r.Violations, and adds an example while
// there are fewer than maxExamples.
func (rec *Recorder) addViolation(r *Report, count *int, what string, op *Operation) {
	*count++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf("%s: %s: sends %+v", op.Token, what, op.Responses))
	}
}

// Print writes the report as a table, then its examples, one a line. A row "refusal K"
// is the count of kind K in Kinds; "DOUBLED" and "CUT" are Duplicated and Truncated.
func (r Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, v any) { fmt.Fprintf(t, "%s\t%v\n", name, v) }
	row("seed", r.Seed)
	row("operations", r.Operations)
	row("sends", r.Sends)
	row("completed", r.Completed)
	row("unknown", r.Unknown)
	row("not run", r.NotRun)
	row("no answer", r.NoAnswer)
	for _, m := range []struct {
		title  string
		counts map[string]int
	}{{"fault ", r.Faults}, {"refusal ", r.Kinds}} {
		names := make([]string, 0, len(m.counts))
		for name := range m.counts {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			row(m.title+name, m.counts[name])
		}
	}
	row("LOST", r.Violations.Lost)
	row("DOUBLED", r.Violations.Duplicated)
	row("MISDELIVERED", r.Violations.Misdelivered)
	row("NOT RUN BUT RAN", r.Violations.WronglyNotRun)
	row("CUT", r.Violations.Truncated)
	_ = t.Flush()
	for _, e := range r.Examples {
		fmt.Fprintln(w, e)
	}
}

// WriteReports writes reports as JSON to the file at path.
func WriteReports(path string, reports []Report) error {
	data, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return fmt.Errorf("encode reports: %w", err)
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
