package replay

import (
	"fmt"
	"slices"
	"time"

	"bilberrydale/version/table"
)

// Deployment is one users' system: its tables, places, callers and the shape
// of its work.
type Deployment struct {
	Name           string
	Tables         table.Tables
	Regions        []string // one failure domain each
	HostsPerRegion int      // entry hosts a region
	// Accounts are the client accounts with their part of the demand.
	Accounts     []Account
	Mix          []RouteMix
	EnginePool   string // the pool that generates
	RerankerPool string // the pool of the slow-reranker trace
}

// Account is a client account.
type Account struct {
	Name           string
	DemandFraction float64 // part of all requests
	Weight         float64 // of its fair share; contracted in proportion to the ordinary demand
}

// Mix is how often a route is asked for and what it takes.
type RouteMix struct {
	Route            string
	Fraction         float64
	MeanServiceTimes []time.Duration // service time by stage
	Bytes            []int           // body, then the output of each stage
}

// Domain returns the only failure domain of a region.
func FailureDomain(region string) string { return region + "-1" }

func pool(name string, kind table.PoolKind, slots, n int, regions []string) table.Pool {
	p := table.Pool{Name: name, Kind: kind, Slots: slots}
	if kind == table.Engine {
		p.Model = table.Model{Name: name}
	}
	for i := range n {
		p.Servers = append(p.Servers, newServer(name, i, regions[i%len(regions)]))
	}
	return p
}

func newServer(pool string, i int, region string) table.Server {
	return table.Server{
		Name: fmt.Sprintf("%s-%d", pool, i+1), Address: fmt.Sprintf("%s-%d:80", pool, i+1),
		Domain: FailureDomain(region), Region: region,
	}
}

func stage(pool string, budget time.Duration, cost float64) table.Stage {
	return table.Stage{Name: pool, Pool: pool, Budget: table.Duration(budget), Repeatable: true, Cost: cost}
}

func once(s table.Stage) table.Stage {
	s.Repeatable = false
	return s
}

func route(name string, class table.Class, deadline time.Duration, worth float64, stages ...table.Stage) table.Route {
	return table.Route{
		Name: name, Match: table.Match{Path: "/v1/" + name}, Class: class,
		Deadline: table.Duration(deadline), Worth: worth, Stages: stages,
	}
}

const ms = time.Millisecond

// Kalahari returns Kalahari Lather Works at today's sizes.
func Kalahari() *Deployment {
	r := []string{"khomas", "erongo", "oshana"}
	encode, retrieve := stage("encoders", 200*ms, 1), stage("retrievers", 300*ms, 1)
	rerank := stage("rerankers", 300*ms, 2)
	d := &Deployment{
		Name: "kalahari", Regions: r, HostsPerRegion: 2, EnginePool: "recipe-model", RerankerPool: "rerankers",
		Accounts: []Account{{"boilers", .35, .35}, {"blenders", .3, .3}, {"depots", .2, .2}, {"buyers", .1, .1}, {"office", .05, .05}},
	}
	d.Tables.Pools = []table.Pool{
		pool("encoders", table.Encoder, 32, 3, r), pool("retrievers", table.Encoder, 32, 3, r),
		pool("rerankers", table.Encoder, 16, 3, r), pool("recipe-model", table.Engine, 8, 12, r),
		pool("depot-ledger", table.Service, 32, 3, r), pool("kettle-floor", table.Service, 32, 5, r),
		pool("buyer-portal", table.Service, 32, 5, r), pool("legacy-bridge", table.Service, 16, 5, r),
	}
	d.Tables.Routes = []table.Route{
		route("draft", table.Standard, 5*time.Second, 8, encode, retrieve, rerank, stage("recipe-model", 3*time.Second, 10)),
		route("substitution", table.Interactive, 3*time.Second, 4, encode, retrieve, stage("recipe-model", 2*time.Second, 10)),
		route("note-tags", table.Background, 5*time.Second, 1, encode, stage("recipe-model", 3*time.Second, 5), stage("legacy-bridge", 500*ms, 1)),
		route("transfer", table.Interactive, 3*time.Second, 10, stage("kettle-floor", 500*ms, 1), once(stage("depot-ledger", time.Second, 2))),
		route("order-status", table.Interactive, 2*time.Second, 1, stage("buyer-portal", 500*ms, 1)),
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

// Zagara returns Zagara Lead Lab at today's sizes.
func Zagara() *Deployment {
	r := []string{"palermo", "catania", "siracusa"}
	encode, retrieve := stage("encoders", 200*ms, 1), stage("retrievers", 300*ms, 1)
	d := &Deployment{
		Name: "zagara", Regions: r, HostsPerRegion: 2, EnginePool: "bilberry-pool", RerankerPool: "rerankers",
		Accounts: []Account{{"ville", .4, .4}, {"borghi", .25, .25}, {"lidi", .2, .2}, {"ricevimenti", .1, .1}, {"sposi", .05, .05}},
	}
	d.Tables.Pools = []table.Pool{
		pool("encoders", table.Encoder, 32, 3, r), pool("retrievers", table.Encoder, 32, 3, r),
		pool("rerankers", table.Encoder, 16, 3, r), pool("bilberry-pool", table.Engine, 8, 10, r),
		pool("lead-desk", table.Service, 32, 3, r), pool("planner-portal", table.Service, 32, 5, r),
		pool("form-intake", table.Service, 32, 5, r), pool("notify-hub", table.Service, 32, 5, r),
	}
	d.Tables.Routes = []table.Route{
		route("chat", table.Interactive, 2500*ms, 6, encode, retrieve, stage("bilberry-pool", 1500*ms, 10)),
		route("proposal", table.Standard, 6*time.Second, 5, encode, retrieve, stage("rerankers", 300*ms, 2), stage("bilberry-pool", 4*time.Second, 10)),
		route("visit", table.Interactive, 3*time.Second, 5, stage("form-intake", 500*ms, 1), once(stage("lead-desk", time.Second, 1))),
		route("raise", table.Standard, 3*time.Second, 2, stage("planner-portal", 500*ms, 1), stage("notify-hub", 500*ms, 1)),
		route("score", table.Background, 6*time.Second, .5, encode, stage("bilberry-pool", 3*time.Second, 5)),
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

// Deployments returns both.
func Deployments() []*Deployment { return []*Deployment{Kalahari(), Zagara()} }

func (d *Deployment) pool(name string) *table.Pool {
	for i := range d.Tables.Pools {
		if d.Tables.Pools[i].Name == name {
			return &d.Tables.Pools[i]
		}
	}
	return nil
}

func (d *Deployment) route(name string) *table.Route {
	for i := range d.Tables.Routes {
		if d.Tables.Routes[i].Name == name {
			return &d.Tables.Routes[i]
		}
	}
	return nil
}

// Rate returns the requests a second at which the engines are just full.
func (d *Deployment) SaturationRate() float64 {
	p := d.pool(d.EnginePool)
	var seconds float64
	for _, m := range d.Mix {
		for i, st := range d.route(m.Route).Stages {
			if st.Pool == d.EnginePool {
				seconds += m.Fraction * m.MeanServiceTimes[i].Seconds()
			}
		}
	}
	return float64(p.Slots*len(p.Servers)) / seconds
}

// equalShares returns the deployment with accounts that all weigh the same.
func (d *Deployment) equalShares() *Deployment {
	out := *d
	out.Accounts = slices.Clone(d.Accounts)
	for i := range out.Accounts {
		out.Accounts[i].Weight = 1
	}
	return &out
}

func (d *Deployment) shares() map[string]float64 {
	out := map[string]float64{}
	for _, a := range d.Accounts {
		out[a.Name] = a.Weight
	}
	return out
}
