package stages

import (
	"sync"
	"time"

	"bilberrydale/process/batcher"
)

// work is the state of one request's stages.
type work struct {
	k       *Coordinator
	r       *Request
	late    bool
	again   bool // results were gone the first time
	start   time.Time
	aim     time.Time
	over    chan struct{}
	inputs  []Input
	err     error
	mu      sync.Mutex
	results [][]batcher.Result
	left    []int  // items of each stage without outcome; -1: not begun
	got     []bool // stages whose servers have fetched all inputs
	began   []time.Time
	took    []time.Duration // from the begin of each stage to its last result
	done    int             // stages
	ended   bool
}

func (w *work) begin() {
	w.mu.Lock()
	for i := range w.left {
		w.left[i] = -1
	}
	ready := w.ready()
	w.mu.Unlock()
	w.submit(ready)
}

// ready returns the stages that can begin now and marks them. It is called
// with w.mu held.
func (w *work) ready() []int {
	var out []int
	for again := true; again; {
		again = false
		for i, s := range w.r.Stages {
			if w.left[i] != -1 || !w.complete(s.DependsOn) {
				continue
			}
			w.left[i] = s.Items
			w.began[i] = w.k.clock.Now()
			w.results[i] = make([]batcher.Result, s.Items)
			if s.Items == 0 {
				w.done++
				again = true
				continue
			}
			out = append(out, i)
		}
	}
	w.finishIfDone()
	return out
}

func (w *work) complete(stages []int) bool {
	for _, i := range stages {
		if w.left[i] != 0 {
			return false
		}
	}
	return true
}

func (w *work) submit(stages []int) {
	for _, i := range stages {
		s := &w.r.Stages[i]
		b := w.k.batchers(s.Service)
		if b == nil {
			w.fail(&Error{Stage: i, Reason: batcher.NoServer})
			return
		}
		b.Submit(w.job(i))
	}
}

func (w *work) job(i int) *batcher.Job {
	s := &w.r.Stages[i]
	var inputs []string
	w.mu.Lock()
	for _, a := range s.DependsOn {
		for _, r := range w.results[a] {
			inputs = append(inputs, r.Handle)
		}
	}
	w.mu.Unlock()
	items := make([]batcher.Item, s.Items)
	for p := range items {
		items[p] = batcher.Item{RequestID: w.r.ID, Stage: i, Piece: p, Inputs: inputs}
		if len(s.DependsOn) == 0 {
			items[p].Key = w.r.InputKey
		}
	}
	rest := w.rest(i)
	domain, away := w.domain(i)
	job := &batcher.Job{
		Items: items, Domain: domain, RemoteBytes: away, AllowedRegions: w.r.AllowedRegions, ResultBytes: s.ResultBytes,
		TargetTime: w.aim.Add(-rest), Deadline: w.r.Deadline.Add(-rest),
		OnResult: func(p int, r batcher.Result) { w.item(i, p, r) },
	}
	if len(s.DependsOn) > 0 {
		job.OnInputsFetched = func() { go w.fetched(i, job) }
	}
	return job
}

// nearBytes of inputs in one failure domain draw a stage there; the results of
// smaller ones are better made where the request will run.
const nearBytes = 100_000

// domain is where the items of a stage are best made, and how much crosses
// domains if they are made elsewhere.
func (w *work) domain(stage int) (domain string, away int64) {
	s := &w.r.Stages[stage]
	bytes := map[string]int64{}
	domain, most := w.r.RunDomain, int64(nearBytes)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range s.DependsOn {
		for _, r := range w.results[a] {
			if r.Domain == "" {
				continue
			}
			bytes[r.Domain] += w.r.Stages[a].ResultBytes
			if bytes[r.Domain] > most {
				domain, most = r.Domain, bytes[r.Domain]
			}
		}
	}
	away = int64(s.Items) * s.ResultBytes
	if len(bytes) > 0 {
		away = max(away, int64(s.Items)*bytes[domain])
	}
	return domain, away
}

// rest is the time that the stages behind a stage take at least.
func (w *work) rest(i int) time.Duration {
	var longest time.Duration
	for j := i + 1; j < len(w.r.Stages); j++ {
		s := &w.r.Stages[j]
		for _, a := range s.DependsOn {
			if a != i {
				continue
			}
			d := w.rest(j)
			if svc, ok := w.k.service(s.Service); ok && s.Items > 0 {
				d += svc.CallTime
			}
			longest = max(longest, d)
		}
	}
	return longest
}

// item takes the outcome of one item. A batcher calls it with its own lock
// held, so what may call a batcher goes on in another goroutine.
func (w *work) item(stage, piece int, r batcher.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		go w.k.free(w.input(stage, r))
		return
	}
	if r.Reason != "" {
		go w.fail(&Error{Stage: stage, Reason: r.Reason})
		return
	}
	w.results[stage][piece] = r
	w.left[stage]--
	if w.left[stage] > 0 {
		return
	}
	w.done++
	w.took[stage] = w.k.clock.Now().Sub(w.began[stage])
	next := w.ready()
	go w.after(stage, next)
}

// after runs when a stage is complete.
func (w *work) after(stage int, next []int) {
	w.submit(next)
	w.freeUsed(stage)
	w.k.mu.Lock()
	w.k.release(w.r.Stages[stage:stage+1], w.late)
	w.k.mu.Unlock()
	w.k.pump()
}

// finishIfDone is called with w.mu held.
func (w *work) finishIfDone() {
	if w.done < len(w.r.Stages) || w.ended {
		return
	}
	w.ended = true
	for _, i := range w.r.last() {
		for _, r := range w.results[i] {
			w.inputs = append(w.inputs, w.input(i, r))
		}
	}
	close(w.over)
}

// fail ends the work; what was made is given up.
func (w *work) fail(e *Error) {
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	w.ended, w.err = true, e
	var made []Input
	for i, list := range w.results {
		for _, r := range list {
			if r.Handle != "" {
				made = append(made, w.input(i, r))
			}
		}
	}
	var rest []Stage
	for i, s := range w.r.Stages {
		if w.left[i] != 0 {
			rest = append(rest, s)
		}
	}
	close(w.over)
	w.mu.Unlock()
	w.k.free(made...)
	w.k.mu.Lock()
	w.k.release(rest, w.late)
	w.k.mu.Unlock()
	w.k.pump()
}

// cancel ends the work for a request that is over; also what was just complete
// is given up.
func (w *work) cancel() {
	w.fail(&Error{Reason: batcher.Cancelled})
	w.mu.Lock()
	var made []Input
	if w.err == nil {
		made = w.inputs
	}
	w.mu.Unlock()
	w.k.free(made...)
}
