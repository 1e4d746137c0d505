// Package capacity holds the system's size of two years from now and makes
// tables of any part of it. Its benchmarks give their slopes.
package capacity

import (
	"fmt"
	"time"

	"bilberrydale/version/table"
)

// Size is how large a system is.
type Size struct {
	EntryHosts     int
	Replicas       int
	Models         int
	Pipelines      int
	Accounts       int
	FailureDomains int
	Regions        int
}

// TwoYears returns the size to design for.
func PlannedSize() Size {
	return Size{EntryHosts: 380, Replicas: 1100, Models: 14, Pipelines: 11, Accounts: 12_000, FailureDomains: 10, Regions: 3}
}

// Part returns the size with as many places and tables and a part of the
// daemons, replicas and accounts.
func (s Size) Scaled(num, den int) Size {
	s.EntryHosts = s.EntryHosts * num / den
	s.Replicas = s.Replicas * num / den
	s.Accounts = s.Accounts * num / den
	return s
}

// Slots is how many requests a replica runs at once.
const SlotsPerReplica = 16

// Domain returns the name of failure domain i and its region.
func (s Size) FailureDomain(i int) (domain, region string) {
	d := i % s.FailureDomains
	return fmt.Sprintf("domain-%d", d), fmt.Sprintf("region-%d", d%s.Regions)
}

// Account returns the name of client account i.
func (s Size) Account(i int) string { return fmt.Sprintf("account-%05d", i%s.Accounts) }

// Tables returns both tables: a pool for each model, and pipelines of three to
// six stages over them.
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
		t.Routes = append(t.Routes, s.route(r))
	}
	return t
}

func (s Size) route(r int) table.Route {
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
