package replay

import (
	"fmt"
	"slices"
	"time"

	"bilberrydale/version/table"
)

// Deployment describes the system of one organization: its tables, regions,
// client accounts and the mix of its requests.
type Deployment struct {
	Name           string
	Tables         table.Tables
	Regions        []string // names; each region has one failure domain
	HostsPerRegion int      // entry hosts in each region
	Accounts       []Account
	Mix            []RouteMix
	EnginePool     string // pool of the engines that generate output
	RerankerPool   string // pool that is slow in the slow-reranker scenario
}

// Account is a client account and its part of the demand.
type Account struct {
	Name           string
	DemandFraction float64 // fraction of all requests
	Weight         float64 // relative weight of its fair share; contracted in proportion to the ordinary demand
}

// RouteMix is the frequency of the requests of a route, their service times and
// sizes.
type RouteMix struct {
	Route            string
	Fraction         float64         // of all requests
	MeanServiceTimes []time.Duration // mean service time of each stage
	Bytes            []int           // size of the request body, then of the output of each stage
}

// FailureDomain returns the only failure domain of a region.
func FailureDomain(region string) string { return region + "-1" }

// newPool returns a pool of n servers spread evenly over the regions.
func newPool(name string, kind table.PoolKind, slots, n int, regions []string) table.Pool {
	p := table.Pool{Name: name, Kind: kind, Slots: slots}
	if kind == table.Engine {
		p.Model = table.Model{Name: name}
	}
	for i := range n {
		p.Servers = append(p.Servers, newServer(name, i, regions[i%len(regions)]))
	}
	return p
}

// newServer returns server i, from 0, of a pool.
func newServer(pool string, i int, region string) table.Server {
	return table.Server{
		Name: fmt.Sprintf("%s-%d", pool, i+1), Address: fmt.Sprintf("%s-%d:80", pool, i+1),
		Domain: FailureDomain(region), Region: region,
	}
}

// newStage returns a repeatable stage with the name of its pool. Cost weights the
// slot time of the stage.
func newStage(pool string, budget time.Duration, cost float64) table.Stage {
	return table.Stage{Name: pool, Pool: pool, Budget: table.Duration(budget), Repeatable: true, Cost: cost}
}

// nonRepeatable returns s as a stage that isn't retried once it may have started.
func nonRepeatable(s table.Stage) table.Stage {
	s.Repeatable = false
	return s
}

// newRoute returns a route; worth is the weight of one completed request.
func newRoute(name string, class table.Class, deadline time.Duration, worth float64, stages ...table.Stage) table.Route {
	return table.Route{
		Name: name, Match: table.Match{Path: "/v1/" + name}, Class: class,
		Deadline: table.Duration(deadline), Worth: worth, Stages: stages,
	}
}

const ms = time.Millisecond

// Kalahari returns the deployment of Kalahari Lather Works at its present size.
func Kalahari() *Deployment {
	r := []string{"khomas", "erongo", "oshana"}
	encode, retrieve := newStage("encoders", 200*ms, 1), newStage("retrievers", 300*ms, 1)
	rerank := newStage("rerankers", 300*ms, 2)
	d := &Deployment{
		Name: "kalahari", Regions: r, HostsPerRegion: 2, EnginePool: "recipe-model", RerankerPool: "rerankers",
		Accounts: []Account{{"boilers", .35, .35}, {"blenders", .3, .3}, {"depots", .2, .2}, {"buyers", .1, .1}, {"office", .05, .05}},
	}
	d.Tables.Pools = []table.Pool{
		newPool("encoders", table.Encoder, 32, 3, r), newPool("retrievers", table.Encoder, 32, 3, r),
		newPool("rerankers", table.Encoder, 16, 3, r), newPool("recipe-model", table.Engine, 8, 12, r),
		newPool("depot-ledger", table.Service, 32, 3, r), newPool("kettle-floor", table.Service, 32, 5, r),
		newPool("buyer-portal", table.Service, 32, 5, r), newPool("legacy-bridge", table.Service, 16, 5, r),
	}
	d.Tables.Routes = []table.Route{
		newRoute("draft", table.Standard, 5*time.Second, 8, encode, retrieve, rerank, newStage("recipe-model", 3*time.Second, 10)),
		newRoute("substitution", table.Interactive, 3*time.Second, 4, encode, retrieve, newStage("recipe-model", 2*time.Second, 10)),
		newRoute("note-tags", table.Background, 5*time.Second, 1, encode, newStage("recipe-model", 3*time.Second, 5), newStage("legacy-bridge", 500*ms, 1)),
		newRoute("transfer", table.Interactive, 3*time.Second, 10, newStage("kettle-floor", 500*ms, 1), nonRepeatable(newStage("depot-ledger", time.Second, 2))),
		newRoute("order-status", table.Interactive, 2*time.Second, 1, newStage("buyer-portal", 500*ms, 1)),
	}
	d.Mix = []RouteMix{
		{"draft", .25, []time.Duration{40 * ms, 60 * ms, 80 * ms, 1200 * ms}, []int{24 << 10, 8 << 10, 48 << 10, 20 << 10, 12 << 10}},
		{"substitution", .30, []time.Duration{30 * ms, 50 * ms, 700 * ms}, []int{4 << 10, 4 << 10, 16 << 10, 3 << 10}},
		{"note-tags", .15, []time.Duration{40 * ms, 600 * ms, 40 * ms}, []int{6 << 10, 6 << 10, 1 << 10, 200}},
		{"transfer", .10, []time.Duration{30 * ms, 60 * ms}, []int{500, 500, 200}},
		{"order-status", .20, []time.Duration{25 * ms}, []int{200, 800}},
	}
	return d
}

// Zagara returns the deployment of Zagara Lead Lab at its present size.
func Zagara() *Deployment {
	r := []string{"palermo", "catania", "siracusa"}
	encode, retrieve := newStage("encoders", 200*ms, 1), newStage("retrievers", 300*ms, 1)
	d := &Deployment{
		Name: "zagara", Regions: r, HostsPerRegion: 2, EnginePool: "bilberry-pool", RerankerPool: "rerankers",
		Accounts: []Account{{"ville", .4, .4}, {"borghi", .25, .25}, {"lidi", .2, .2}, {"ricevimenti", .1, .1}, {"sposi", .05, .05}},
	}
	d.Tables.Pools = []table.Pool{
		newPool("encoders", table.Encoder, 32, 3, r), newPool("retrievers", table.Encoder, 32, 3, r),
		newPool("rerankers", table.Encoder, 16, 3, r), newPool("bilberry-pool", table.Engine, 8, 10, r),
		newPool("lead-desk", table.Service, 32, 3, r), newPool("planner-portal", table.Service, 32, 5, r),
		newPool("form-intake", table.Service, 32, 5, r), newPool("notify-hub", table.Service, 32, 5, r),
	}
	d.Tables.Routes = []table.Route{
		newRoute("chat", table.Interactive, 2500*ms, 6, encode, retrieve, newStage("bilberry-pool", 1500*ms, 10)),
		newRoute("proposal", table.Standard, 6*time.Second, 5, encode, retrieve, newStage("rerankers", 300*ms, 2), newStage("bilberry-pool", 4*time.Second, 10)),
		newRoute("visit", table.Interactive, 3*time.Second, 5, newStage("form-intake", 500*ms, 1), nonRepeatable(newStage("lead-desk", time.Second, 1))),
		newRoute("raise", table.Standard, 3*time.Second, 2, newStage("planner-portal", 500*ms, 1), newStage("notify-hub", 500*ms, 1)),
		newRoute("score", table.Background, 6*time.Second, .5, encode, newStage("bilberry-pool", 3*time.Second, 5)),
	}
	d.Mix = []RouteMix{
		{"chat", .40, []time.Duration{20 * ms, 40 * ms, 500 * ms}, []int{3 << 10, 4 << 10, 16 << 10, 1 << 10}},
		{"proposal", .15, []time.Duration{40 * ms, 60 * ms, 80 * ms, 1500 * ms}, []int{16 << 10, 8 << 10, 48 << 10, 20 << 10, 16 << 10}},
		{"visit", .10, []time.Duration{30 * ms, 60 * ms}, []int{500, 500, 200}},
		{"raise", .15, []time.Duration{30 * ms, 30 * ms}, []int{600, 600, 100}},
		{"score", .20, []time.Duration{30 * ms, 400 * ms}, []int{4 << 10, 4 << 10, 100}},
	}
	return d
}

// Deployments returns every deployment.
func Deployments() []*Deployment { return []*Deployment{Kalahari(), Zagara()} }

// findPool returns the pool of that name, or nil.
func (d *Deployment) findPool(name string) *table.Pool {
	for i := range d.Tables.Pools {
		if d.Tables.Pools[i].Name == name {
			return &d.Tables.Pools[i]
		}
	}
	return nil
}

// findRoute returns the route of that name, or nil.
func (d *Deployment) findRoute(name string) *table.Route {
	for i := range d.Tables.Routes {
		if d.Tables.Routes[i].Name == name {
			return &d.Tables.Routes[i]
		}
	}
	return nil
}

// SaturationRate returns the rate, in requests a second, at which the engines are
// fully utilized at mean service times.
func (d *Deployment) SaturationRate() float64 {
	p := d.findPool(d.EnginePool)
	var seconds float64
	for _, m := range d.Mix {
		for i, st := range d.findRoute(m.Route).Stages {
			if st.Pool == d.EnginePool {
				seconds += m.Fraction * m.MeanServiceTimes[i].Seconds()
			}
		}
	}
	return float64(p.Slots*len(p.Servers)) / seconds
}

// withEqualAccountWeights returns a copy of the deployment with equal account
// weights, for scenarios in which fair shares don't follow the accounts' demands.
func (d *Deployment) withEqualAccountWeights() *Deployment {
	out := *d
	out.Accounts = slices.Clone(d.Accounts)
	for i := range out.Accounts {
		out.Accounts[i].Weight = 1
	}
	return &out
}

// accountWeights returns the weight of each account by name.
func (d *Deployment) accountWeights() map[string]float64 {
	out := map[string]float64{}
	for _, a := range d.Accounts {
		out[a.Name] = a.Weight
	}
	return out
}
