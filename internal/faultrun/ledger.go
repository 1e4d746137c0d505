// Package faultrun judges a run of requests under faults: what callers were
// told against what the backend servers really executed.
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

// Ran is what an answer said about execution.
type Ran string

// Values of Ran; RanNone: there was no answer at all.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
	RanNone    Ran = ""
)

// Answer is what one send of an operation came to.
type Answer struct {
	// Sent is the token under which this send can be told at the backend
	// servers: the operation's if a key ties its sends together, else its own.
	Sent string
	// Belied: it said "not run" when an earlier send had been received.
	Belied bool
	Whole  bool   // a whole answer by the rules that a caller goes by
	Token  string // what the answer belongs to
	Right  bool   // the content is the expected one
	Ran    Ran    // of a refusal
	Kind   string // of a refusal
}

// Operation is one thing a caller wants done, over all of its sends.
type Operation struct {
	Token      string
	Name       string // of the route
	Repeatable bool
	Sends      []Answer
}

// Ledger collects both sides of a run. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	received   map[string]bool
	executions map[string]int
	operations []Operation
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{received: map[string]bool{}, executions: map[string]int{}} }

// Receive records that a backend server began any stage of an operation.
func (l *Ledger) Receive(token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received[token] = true
}

// Execute records that a backend server began the stage that has the
// operation's effect.
func (l *Ledger) Execute(token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[token]++
}

// Received reports whether a backend server began any stage of token.
func (l *Ledger) Received(token string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received[token]
}

// Executions returns how often token was executed.
func (l *Ledger) Executions(token string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[token]
}

// Close records an operation after its last send.
func (l *Ledger) Close(op Operation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operations = append(l.operations, op)
}

// Broken counts broken promises. All have to be 0.
type Broken struct {
	Lost         int `json:"lost"`            // answered as done, never executed
	Doubled      int `json:"doubled"`         // executed twice though not repeatable
	Misdelivered int `json:"misdelivered"`    // another operation's answer
	NotRun       int `json:"not_run_but_ran"` // "ran: no" of an executed one
	Cut          int `json:"cut"`             // an incomplete answer that looks whole
}

// Sum returns all broken promises.
func (b Broken) Sum() int { return b.Lost + b.Doubled + b.Misdelivered + b.NotRun + b.Cut }

// Report is the outcome of a run.
type Report struct {
	Seed       uint64         `json:"seed"`
	Operations int            `json:"operations"`
	Sends      int            `json:"sends"`
	Completed  int            `json:"completed"` // operations with a whole answer
	Unknown    int            `json:"unknown"`   // whose last word was "unknown"
	NotRun     int            `json:"not_run"`
	NoAnswer   int            `json:"no_answer"` // the entry host died under it
	Faults     map[string]int `json:"faults"`
	Kinds      map[string]int `json:"kinds"`
	Broken     Broken         `json:"broken"`
	Examples   []string       `json:"examples,omitempty"`
}

const maxExamples = 10

// Judge compares both sides.
func (l *Ledger) Judge(seed uint64, faults map[string]int) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Seed: seed, Faults: faults, Kinds: map[string]int{}, Operations: len(l.operations)}
	for i := range l.operations {
		l.judge(&r, &l.operations[i])
	}
	return r
}

func (l *Ledger) judge(r *Report, op *Operation) {
	completed := false
	for i := range op.Sends {
		r.Sends++
		completed = l.judgeSend(r, op, &op.Sends[i]) || completed
	}
	last := op.Sends[len(op.Sends)-1]
	switch {
	case completed:
		r.Completed++
	case last.Ran == RanNo:
		r.NotRun++
		if l.received[last.Sent] {
			l.broken(r, &r.Broken.NotRun, "said not run", op)
		}
	case last.Ran == RanNone:
		r.NoAnswer++
	default:
		r.Unknown++
	}
}

// judgeSend judges one send and returns whether it brought the right answer.
func (l *Ledger) judgeSend(r *Report, op *Operation, a *Answer) bool {
	n := l.executions[a.Sent]
	switch {
	case n > 1 && !op.Repeatable:
		l.broken(r, &r.Broken.Doubled, "doubled", op)
	case a.Whole && a.Token != a.Sent:
		l.broken(r, &r.Broken.Misdelivered, "misdelivered", op)
	case a.Whole && !a.Right:
		l.broken(r, &r.Broken.Cut, "cut", op)
	case a.Whole && n == 0:
		l.broken(r, &r.Broken.Lost, "lost", op)
	case a.Belied:
		l.broken(r, &r.Broken.NotRun, "said not run", op)
	case a.Whole:
		return true
	default:
		r.Kinds[a.Kind]++
	}
	return false
}

func (l *Ledger) broken(r *Report, count *int, what string, op *Operation) {
	*count++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf("%s: %s: sends %+v", op.Token, what, op.Sends))
	}
}

// Print writes the report as a table.
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
	row("LOST", r.Broken.Lost)
	row("DOUBLED", r.Broken.Doubled)
	row("MISDELIVERED", r.Broken.Misdelivered)
	row("NOT RUN BUT RAN", r.Broken.NotRun)
	row("CUT", r.Broken.Cut)
	_ = t.Flush()
	for _, e := range r.Examples {
		fmt.Fprintln(w, e)
	}
}

// Write stores reports as JSON at path.
func Write(path string, reports []Report) error {
	data, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return fmt.Errorf("encode reports: %w", err)
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
