// Package capacity describes the size that the system is designed for and generates
// tables of that size or a fraction of it. Its benchmarks show how the costs of an
// entry host grow with the size.
package capacity

import (
	"fmt"
	"time"

	"bilberrydale/version/table"
)

// Size holds the numbers of the parts of a system.
type Size struct {
	EntryHosts     int
	Replicas       int // backend servers, divided evenly over the models
	Models         int // each has a pool
	Pipelines      int // each has a route
	Accounts       int // client accounts
	FailureDomains int
	Regions        int
}

// PlannedSize returns the size to design for, which is expected in two years.
func PlannedSize() Size {
	return Size{EntryHosts: 380, Replicas: 1100, Models: 14, Pipelines: 11, Accounts: 12_000, FailureDomains: 10, Regions: 3}
}

// Scaled returns the size with num/den of the entry hosts, replicas and accounts,
// and the same models, pipelines, failure domains and regions.
func (s Size) Scaled(num, den int) Size {
	s.EntryHosts = s.EntryHosts * num / den
	s.Replicas = s.Replicas * num / den
	s.Accounts = s.Accounts * num / den
	return s
}

// SlotsPerReplica is the number of requests that a replica runs concurrently.
const SlotsPerReplica = 16

// FailureDomain returns the names of failure domain i, modulo their number, and of
// its region.
func (s Size) FailureDomain(i int) (domain, region string) {
	d := i % s.FailureDomains
	return fmt.Sprintf("domain-%d", d), fmt.Sprintf("region-%d", d%s.Regions)
}

// Account returns the name of client account i, modulo their number.
func (s Size) Account(i int) string { return fmt.Sprintf("account-%05d", i%s.Accounts) }

// Tables returns a pool for each model, and a route of three to six stages for each
// pipeline.
func (s Size) Tables() table.Tables {
	var t table.Tables
	n := 0
	for m := range s.Models {
		p := table.Pool{Name: fmt.Sprintf("model-%02d", m), Kind: table.Engine, Slots: SlotsPerReplica}
		p.Model = table.Model{Name: p.Name, Version: "1"}
		count := s.Replicas / s.Models
		if m < s.Replicas%s.Models {
			count++
		}
		for i := range count {
			domain, region := s.FailureDomain(i)
			p.Servers = append(p.Servers, table.Server{
				Name: fmt.Sprintf("%s-%03d", p.Name, i), Address: fmt.Sprintf("10.%d.%d.%d:8000", 1+n/65025, n/255%255, n%255),
				Domain: domain, Region: region,
			})
			n++
		}
		t.Pools = append(t.Pools, p)
	}
	for r := range s.Pipelines {
		t.Routes = append(t.Routes, s.pipelineRoute(r))
	}
	return t
}

// pipelineRoute returns the route of pipeline r.
func (s Size) pipelineRoute(r int) table.Route {
	out := table.Route{
		Name: fmt.Sprintf("pipeline-%02d", r), Match: table.Match{Path: fmt.Sprintf("/v1/pipeline-%02d", r)},
		Deadline: table.Duration(5 * time.Second), Worth: float64(1 + r%5), Class: table.Interactive,
	}
	for i := range 3 + r%4 {
		out.Stages = append(out.Stages, table.Stage{
			Name: fmt.Sprintf("stage-%d", i), Pool: fmt.Sprintf("model-%02d", (r+3*i)%s.Models),
			Budget: table.Duration(500 * time.Millisecond), Repeatable: true, Cost: 1,
		})
	}
	return out
}
