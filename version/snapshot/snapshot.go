// Package snapshot compiles one release's tables into the immutable, indexed
// form that requests read. A request holds one snapshot from its start to its
// end, so every stage of it runs under the same release.
package snapshot

import (
	"net/http"
	"sort"
	"strings"
	"time"

	"bilberrydale/process/admission"
	"bilberrydale/process/release"
	"bilberrydale/process/server"
	"bilberrydale/version/pick"
	"bilberrydale/version/table"
)

// Snapshot is one release in force.
type Snapshot struct {
	Number uint64
	Hash   string
	Routes []*Route // in matching order: longest prefix first
	Pools  map[string]*Pool
}

// Route is a route with its pools resolved.
type Route struct {
	table.Route
	Stages []Stage
	// Repeatable is true when every stage is.
	Repeatable bool
	// Profile is the route as the admission decision sees it.
	Profile *admission.Profile
	// Priority is sent to backend servers; 0 is the most urgent.
	Priority int
}

// Stage is a stage with its pool resolved.
type Stage struct {
	table.Stage
	Index int
	Pool  *Pool
}

// Pool is a pool with its picker.
type Pool struct {
	table.Pool
	Picker pick.Picker
}

// Options say where the entry host stands and how pickers are made.
type Options struct {
	Registry   *server.Registry
	NewPicker  func(pool table.Pool, servers []pick.Server) pick.Picker
	Now        time.Time
	AdjustPool func(*table.Pool) // called for each pool before its picker is made; nil: none
}

// Build compiles rel. It fails, leaving the earlier snapshot in force, when
// the tables do not hold together.
func Build(rel release.Release, opts Options) (*Snapshot, error) {
	t, err := table.FromRows(rel.Rows)
	if err != nil {
		return nil, err
	}
	if err := table.Validate(t); err != nil {
		return nil, err
	}
	s := &Snapshot{Number: rel.Number, Hash: rel.Hash, Pools: make(map[string]*Pool, len(t.Pools))}
	for _, p := range t.Pools {
		s.Pools[p.Name] = buildPool(p, opts)
	}
	for _, r := range t.Routes {
		s.Routes = append(s.Routes, buildRoute(r, s.Pools))
	}
	sort.SliceStable(s.Routes, func(i, j int) bool { return narrower(s.Routes[i], s.Routes[j]) })
	return s, nil
}

func buildPool(p table.Pool, opts Options) *Pool {
	if opts.AdjustPool != nil {
		opts.AdjustPool(&p)
	}
	servers := make([]pick.Server, len(p.Servers))
	for i, srv := range p.Servers {
		servers[i] = pick.Server{Server: srv, State: opts.Registry.Get(srv.Name, srv.Address, opts.Now), Slots: p.Slots}
	}
	return &Pool{Pool: p, Picker: opts.NewPicker(p, servers)}
}

func buildRoute(r table.Route, pools map[string]*Pool) *Route {
	out := &Route{Route: r, Repeatable: true}
	for i, st := range r.Stages {
		out.Stages = append(out.Stages, Stage{Stage: st, Index: i, Pool: pools[st.Pool]})
		out.Repeatable = out.Repeatable && st.Repeatable
	}
	out.Profile = profile(out)
	out.Priority = int(out.Profile.Class)
	return out
}

var classes = map[table.Class]admission.Class{
	table.Interactive: admission.Interactive,
	table.Standard:    admission.Standard,
	table.Background:  admission.Background,
}

func profile(r *Route) *admission.Profile {
	p := &admission.Profile{Route: r.Name, Class: classes[r.Class], Worth: r.Worth, AccountWeights: r.Policy.Shares}
	for _, st := range r.Stages {
		p.Stages = append(p.Stages, admission.Stage{
			Pool: st.Pool.Name, Budget: st.Budget.Std(), Cost: st.Cost,
			Slots: st.Pool.Slots * len(st.Pool.Servers),
		})
	}
	return p
}

func narrower(a, b *Route) bool {
	if la, lb := len(a.Match.Path), len(b.Match.Path); la != lb {
		return la > lb
	}
	if la, lb := len(a.Match.Headers), len(b.Match.Headers); la != lb {
		return la > lb
	}
	if (a.Match.Method != "") != (b.Match.Method != "") {
		return a.Match.Method != ""
	}
	return a.Name < b.Name
}

// Route returns the first route that matches, or nil.
func (s *Snapshot) Route(method, path string, header http.Header) *Route {
	for _, r := range s.Routes {
		if r.matches(method, path, header) {
			return r
		}
	}
	return nil
}

func (r *Route) matches(method, path string, header http.Header) bool {
	rest, ok := strings.CutPrefix(path, r.Match.Path)
	if !ok || (rest != "" && rest[0] != '/' && !strings.HasSuffix(r.Match.Path, "/")) {
		return false
	}
	if r.Match.Method != "" && r.Match.Method != method {
		return false
	}
	for k, v := range r.Match.Headers {
		if header.Get(k) != v {
			return false
		}
	}
	return true
}
