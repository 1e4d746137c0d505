package replay

import (
	"slices"
	"time"

	"bilberrydale/version/table"
)

// Result holds the measures of one replay.
type Result struct {
	Deployment      string  `json:"deployment"`
	Scenario        string  `json:"scenario"`
	Policy          string  `json:"policy"`
	Seed            uint64  `json:"seed"`
	Offered         int     `json:"offered"`
	Completed       int     `json:"completed"`
	Refused         int     `json:"refused"`
	Worth           float64 `json:"worth"`    // of requests completed in time
	BoundRatio      float64 `json:"of_bound"` // worth as a part of the bound
	FluidBoundRatio float64 `json:"of_fluid"` // the same of the bound that knows routes' means only
	// Attainment is the part completed in time, by class.
	Interactive      float64     `json:"interactive"`
	Standard         float64     `json:"standard"`
	Background       float64     `json:"background"`
	Cost             float64     `json:"cost"` // of slot seconds, by the stages' price
	Stages           []StageCost `json:"stages"`
	WastedFraction   float64     `json:"wasted"` // worst stage's part spent on requests that missed
	WastedStage      string      `json:"wasted_in"`
	CrossRegionBytes int64       `json:"cross_bytes"`
	WorstShareRatio  float64     `json:"worst_share"` // worst account's part of its fair due
	// WorstServed is the same when the due is a share of what was served, so
	// that it shows how evenly and not how much.
	WorstServedRatio float64 `json:"worst_served"`
	// Returned came back when told to, and Served of them completed then;
	// background requests, which are refused as long as others wait, apart.
	ClientRetries          int     `json:"returned"`
	ClientRetrySuccess     float64 `json:"served"`
	BackgroundRetrySuccess float64 `json:"served_background"`
}

// Spend is what one stage's slot time went into.
type StageCost struct {
	Stage          string  `json:"stage"`
	Cost           float64 `json:"cost"`
	WastedFraction float64 `json:"wasted"`
}

func (r *run) measure() *Result {
	m := &Result{Deployment: r.deployment.Name, Scenario: r.scenario.Name, Policy: r.policy.Name, Offered: len(r.outcomes)}
	for _, o := range r.outcomes {
		m.count(o, r.deployment.route(o.rec.Route).Worth)
	}
	m.Interactive, m.Standard, m.Background = r.attained("interactive"), r.attained("standard"), r.attained("background")
	m.spending(slices.Concat(r.outcomes, r.returned), r.deployment)
	m.WorstShareRatio, m.WorstServedRatio = r.worstShares()
	r.comeBacks(m)
	return m
}

func (r *run) comeBacks(m *Result) {
	var back, served [2]int
	for _, o := range r.returned {
		m.CrossRegionBytes += o.crossed
		i := 0
		if r.deployment.route(o.rec.Route).Class == table.Background {
			i = 1
		}
		back[i]++
		if o.completed {
			served[i]++
		}
	}
	m.ClientRetries = back[0] + back[1]
	m.ClientRetrySuccess = float64(served[0]) / float64(max(1, back[0]))
	m.BackgroundRetrySuccess = float64(served[1]) / float64(max(1, back[1]))
}

func (m *Result) count(o *outcome, worth float64) {
	m.CrossRegionBytes += o.crossed
	switch {
	case o.completed:
		m.Completed++
		m.Worth += worth
	case o.refused:
		m.Refused++
	}
}

func (r *run) attained(class string) float64 {
	all, done := 0, 0
	for _, o := range r.outcomes {
		if string(r.deployment.route(o.rec.Route).Class) != class || o.rec.Poison {
			continue
		}
		all++
		if o.completed {
			done++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(done) / float64(all)
}

// leastSpend is the slot time below which a stage's wasted part says nothing.
const leastSpend = 5 * time.Second

func (m *Result) spending(outcomes []*outcome, d *Deployment) {
	slots := map[string]time.Duration{}
	wasted := map[string]time.Duration{}
	cost := map[string]float64{}
	for _, o := range outcomes {
		for _, s := range o.spent {
			slots[s.stage] += s.slot
			cost[s.stage] += s.cost * s.slot.Seconds()
			if !o.completed {
				wasted[s.stage] += s.slot
			}
		}
	}
	for _, p := range d.Tables.Pools {
		if slots[p.Name] == 0 {
			continue
		}
		part := float64(wasted[p.Name]) / float64(slots[p.Name])
		m.Stages = append(m.Stages, StageCost{p.Name, cost[p.Name], part})
		m.Cost += cost[p.Name]
		if part > m.WastedFraction && slots[p.Name] >= leastSpend {
			m.WastedFraction, m.WastedStage = part, p.Name
		}
	}
}

// sharePhase is the length of the phases in which shares are compared.
const sharePhase = 30 * time.Second

// worstShares compares, in each phase, the engine time that each account got for
// requests completed in time with its weighted max-min share of what the
// engines can do, and of what all accounts got. Background work has no due.
func (r *run) worstShares() (ofCapacity, ofServed float64) {
	ofCapacity, ofServed = 1, 1
	for from := time.Duration(0); from < length(r.scenario); from += sharePhase {
		asked, got := r.accountSeconds(from)
		var served float64
		for _, s := range got {
			served += s
		}
		ofCapacity = min(ofCapacity, worst(got, fairDue(asked, r.deployment.Accounts, r.engineCapacity(from))))
		ofServed = min(ofServed, worst(got, fairDue(asked, r.deployment.Accounts, served)))
	}
	return ofCapacity, ofServed
}

func (r *run) accountSeconds(from time.Duration) (asked, got []float64) {
	asked = make([]float64, len(r.deployment.Accounts))
	got = make([]float64, len(asked))
	for _, o := range r.outcomes {
		if o.arrived < from || o.arrived >= from+sharePhase || o.rec.Poison {
			continue
		}
		i := slices.IndexFunc(r.deployment.Accounts, func(a Account) bool { return a.Name == o.rec.Account })
		s := r.engineSeconds(o.rec)
		asked[i] += s
		if o.completed {
			got[i] += s
		}
	}
	return asked, got
}

// leastDue is the due in seconds below which a share says nothing.
const leastDue = 1

func worst(got, due []float64) float64 {
	out := 1.0
	for i := range due {
		if due[i] > leastDue {
			out = min(out, got[i]/due[i])
		}
	}
	return out
}

func (r *run) engineSeconds(rec *Record) float64 {
	rt := r.deployment.route(rec.Route)
	if rt.Class == table.Background {
		return 0
	}
	for i, st := range rt.Stages {
		if st.Pool == r.deployment.EnginePool {
			return fromMicros(rec.Work[i]).Seconds()
		}
	}
	return 0
}

func (r *run) engineCapacity(from time.Duration) float64 {
	c := capacity(r.deployment, r.scenario, r.deployment.EnginePool, int((from+sharePhase)/time.Second))
	var sum float64
	for _, v := range c[int(from/time.Second):] {
		sum += v
	}
	return sum
}

// fairDue is the weighted max-min allocation of capacity to what was asked.
func fairDue(asked []float64, accounts []Account, capacity float64) []float64 {
	due := make([]float64, len(asked))
	open := len(asked)
	full := make([]bool, len(asked))
	for open > 0 {
		var weights float64
		for i := range asked {
			if !full[i] {
				weights += accounts[i].Weight
			}
		}
		level, filled := capacity/weights, false
		for i := range asked {
			if !full[i] && asked[i] <= level*accounts[i].Weight {
				due[i], full[i], filled = asked[i], true, true
				capacity -= asked[i]
				open--
			}
		}
		if filled {
			continue
		}
		for i := range asked {
			if !full[i] {
				due[i] = level * accounts[i].Weight
			}
		}
		return due
	}
	return due
}
