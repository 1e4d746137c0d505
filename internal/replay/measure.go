package replay

import (
	"slices"
	"time"

	"bilberrydale/process/fairshare"
	"bilberrydale/version/table"
)

// Result holds the metrics of one replay.
type Result struct {
	Deployment      string  `json:"deployment"`
	Scenario        string  `json:"scenario"`
	Policy          string  `json:"policy"`
	Seed            uint64  `json:"seed"`
	Offered         int     `json:"offered"`   // requests of the trace
	Completed       int     `json:"completed"` // before their deadlines
	Refused         int     `json:"refused"`
	Worth           float64 `json:"worth"`    // sum over the requests completed in time
	BoundRatio      float64 `json:"of_bound"` // Worth divided by UpperBound
	FluidBoundRatio float64 `json:"of_fluid"` // Worth divided by the bound for mean service times
	// Interactive, Standard and Background are the fractions of the requests of
	// each class that completed in time, without poison requests.
	Interactive      float64     `json:"interactive"`
	Standard         float64     `json:"standard"`
	Background       float64     `json:"background"`
	Cost             float64     `json:"cost"` // slot seconds, weighted by the costs of the stages
	Stages           []StageCost `json:"stages"`
	WastedFraction   float64     `json:"wasted"`      // highest fraction of a stage's slot time spent on requests that did not complete
	WastedStage      string      `json:"wasted_in"`   // stage of WastedFraction
	CrossRegionBytes int64       `json:"cross_bytes"` // between entry hosts and servers of other regions
	WorstShareRatio  float64     `json:"worst_share"` // lowest ratio of an account's engine time to its fair share of the capacity
	// WorstServedRatio is the lowest ratio to the fair share of the engine time
	// that all accounts received. It measures fairness independently of how much
	// was completed.
	WorstServedRatio float64 `json:"worst_served"`
	// ClientRetries is the number of requests that clients repeated after the
	// retry delay of a refusal, and ClientRetrySuccess the fraction of them that
	// completed. Background requests, which are refused as long as others wait,
	// count in BackgroundRetrySuccess instead.
	ClientRetries          int     `json:"returned"`
	ClientRetrySuccess     float64 `json:"served"`
	BackgroundRetrySuccess float64 `json:"served_background"`
}

// StageCost is the slot time of one stage.
type StageCost struct {
	Stage          string  `json:"stage"`
	Cost           float64 `json:"cost"`   // slot seconds, weighted by the cost of the stage
	WastedFraction float64 `json:"wasted"` // of the slot time, spent on requests that did not complete
}

// measure computes the result of a finished replay.
func (sim *simulation) measure() *Result {
	m := &Result{Deployment: sim.deployment.Name, Scenario: sim.scenario.Name, Policy: sim.policy.Name, Offered: len(sim.outcomes)}
	for _, o := range sim.outcomes {
		m.countOutcome(o, sim.deployment.findRoute(o.record.Route).Worth)
	}
	m.Interactive, m.Standard, m.Background = sim.attainment("interactive"), sim.attainment("standard"), sim.attainment("background")
	m.countSlotTime(slices.Concat(sim.outcomes, sim.clientRetries), sim.deployment)
	m.WorstShareRatio, m.WorstServedRatio = sim.worstShareRatios()
	sim.countClientRetries(m)
	return m
}

// countClientRetries adds the client retries to m. The arrays hold the requests of
// background routes at index 1 and all others at 0.
func (sim *simulation) countClientRetries(m *Result) {
	var retries, succeeded [2]int
	for _, o := range sim.clientRetries {
		m.CrossRegionBytes += o.crossRegionBytes
		i := 0
		if sim.deployment.findRoute(o.record.Route).Class == table.Background {
			i = 1
		}
		retries[i]++
		if o.completed {
			succeeded[i]++
		}
	}
	m.ClientRetries = retries[0] + retries[1]
	m.ClientRetrySuccess = float64(succeeded[0]) / float64(max(1, retries[0]))
	m.BackgroundRetrySuccess = float64(succeeded[1]) / float64(max(1, retries[1]))
}

// countOutcome adds the outcome of a request of the trace. Worth is that of its route.
func (m *Result) countOutcome(o *outcome, worth float64) {
	m.CrossRegionBytes += o.crossRegionBytes
	switch {
	case o.completed:
		m.Completed++
		m.Worth += worth
	case o.refused:
		m.Refused++
	}
}

// attainment returns the fraction of a class's requests that completed in time,
// without poison requests; 1 if the trace has none.
func (sim *simulation) attainment(class string) float64 {
	all, done := 0, 0
	for _, o := range sim.outcomes {
		if string(sim.deployment.findRoute(o.record.Route).Class) != class || o.record.Poison {
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

// minSlotTime is the slot time below which a stage is too little used for its
// wasted fraction to be meaningful.
const minSlotTime = 5 * time.Second

// countSlotTime adds the costs and wasted fractions of each stage that ran, in the
// order of the pools, which fixes the order of the floating-point sums.
func (m *Result) countSlotTime(outcomes []*outcome, d *Deployment) {
	total := map[string]time.Duration{}
	wasted := map[string]time.Duration{}
	cost := map[string]float64{}
	for _, o := range outcomes {
		for _, s := range o.slotTimes {
			total[s.stage] += s.duration
			cost[s.stage] += s.cost * s.duration.Seconds()
			if !o.completed {
				wasted[s.stage] += s.duration
			}
		}
	}
	for _, p := range d.Tables.Pools {
		if total[p.Name] == 0 {
			continue
		}
		part := float64(wasted[p.Name]) / float64(total[p.Name])
		m.Stages = append(m.Stages, StageCost{p.Name, cost[p.Name], part})
		m.Cost += cost[p.Name]
		if part > m.WastedFraction && total[p.Name] >= minSlotTime {
			m.WastedFraction, m.WastedStage = part, p.Name
		}
	}
}

// shareWindow is the length of the windows in which shares are compared.
const shareWindow = 30 * time.Second

// worstShareRatios compares, in each window, the engine time of an account's
// requests that completed in time with its weighted max-min share of the engine
// capacity, and of the engine time that all accounts received. It returns the
// lowest ratio of each. Background requests have no share and don't count.
func (sim *simulation) worstShareRatios() (capacityRatio, servedRatio float64) {
	capacityRatio, servedRatio = 1, 1
	for from := time.Duration(0); from < scenarioDuration(sim.scenario); from += shareWindow {
		demanded, completed := sim.accountEngineSeconds(from)
		var completedTotal float64
		for _, s := range completed {
			completedTotal += s
		}
		capacityRatio = min(capacityRatio, worstRatio(completed, fairShares(demanded, sim.deployment.Accounts, sim.engineCapacity(from))))
		servedRatio = min(servedRatio, worstRatio(completed, fairShares(demanded, sim.deployment.Accounts, completedTotal)))
	}
	return capacityRatio, servedRatio
}

// accountEngineSeconds returns the engine time of each account's requests that
// arrived in the window from the given time: of all, and of the completed ones.
func (sim *simulation) accountEngineSeconds(from time.Duration) (demanded, completed []float64) {
	demanded = make([]float64, len(sim.deployment.Accounts))
	completed = make([]float64, len(demanded))
	for _, o := range sim.outcomes {
		if o.arrivedAt < from || o.arrivedAt >= from+shareWindow || o.record.Poison {
			continue
		}
		i := slices.IndexFunc(sim.deployment.Accounts, func(a Account) bool { return a.Name == o.record.Account })
		s := sim.engineSeconds(o.record)
		demanded[i] += s
		if o.completed {
			completed[i] += s
		}
	}
	return demanded, completed
}

// minFairShare is the fair share, in engine seconds, below which a ratio is not
// meaningful.
const minFairShare = 1

// worstRatio returns the lowest ratio of engine time to fair share, at most 1.
func worstRatio(completed, shares []float64) float64 {
	out := 1.0
	for i := range shares {
		if shares[i] > minFairShare {
			out = min(out, completed[i]/shares[i])
		}
	}
	return out
}

// engineSeconds returns the service time of the engine stage of a request; 0 for
// background routes and routes without one.
func (sim *simulation) engineSeconds(rec *Record) float64 {
	rt := sim.deployment.findRoute(rec.Route)
	if rt.Class == table.Background {
		return 0
	}
	for i, st := range rt.Stages {
		if st.Pool == sim.deployment.EnginePool {
			return fromMicros(rec.Work[i]).Seconds()
		}
	}
	return 0
}

// engineCapacity returns the slot seconds of the engine pool in a window.
func (sim *simulation) engineCapacity(from time.Duration) float64 {
	c := poolCapacity(sim.deployment, sim.scenario, sim.deployment.EnginePool, int((from+shareWindow)/time.Second))
	var sum float64
	for _, v := range c[int(from/time.Second):] {
		sum += v
	}
	return sum
}

// fairShares returns, by account, the weighted max-min fair allocation of capacity
// to the demands. Both are in engine seconds.
func fairShares(demands []float64, accounts []Account, capacity float64) []float64 {
	weighted := make([]fairshare.Demand, len(demands))
	for i, d := range demands {
		weighted[i] = fairshare.Demand{Amount: d, Weight: accounts[i].Weight}
	}
	level := fairshare.Level(capacity, weighted)
	shares := make([]float64, len(demands))
	for i, d := range weighted {
		shares[i] = min(d.Amount, level*d.Weight)
	}
	return shares
}
