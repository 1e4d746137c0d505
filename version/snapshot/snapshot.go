// Package snapshot compiles the tables of a release into the immutable form that requests
// use. A request holds one snapshot from start to end, so all its stages run under the same
// release.
package snapshot

import (
	"net/http"
	"sort"
	"strings"
	"time"

	"bilberrydale/process/admission"
	"bilberrydale/process/release"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/pick"
	"bilberrydale/version/table"
)

// Snapshot is a compiled release. It is immutable and safe for concurrent use.
type Snapshot struct {
	Number uint64           // of the release
	Hash   string           // of the release's rows
	Routes []*Route         // in matching order: most specific first
	Pools  map[string]*Pool // by name
}

// Route is a route with its pools resolved.
type Route struct {
	table.Route
	Stages []Stage
	// Repeatable is set if all stages are repeatable.
	Repeatable bool
	// Profile is the input of admission decisions for the route.
	Profile *admission.Profile
	// Priority is sent to backend servers; 0 is the most urgent.
	Priority int
}

// Stage is a stage with its pool resolved.
type Stage struct {
	table.Stage
	Index int // position in the route, from 0
	Pool  *Pool
}

// Pool is a pool with its picker.
type Pool struct {
	table.Pool
	Picker pick.Picker
}

// Options configure Build. Registry and NewPicker are required.
type Options struct {
	Registry   *serverstate.Registry                                    // holds the states of backend servers across releases
	NewPicker  func(pool table.Pool, servers []pick.Server) pick.Picker // creates the picker of each pool
	Now        time.Time                                                // time at which new servers are registered
	AdjustPool func(*table.Pool)                                        // changes each pool before its picker is created; may be nil
}

// Build compiles rel. It returns table.ValidationErrors if the tables are invalid; the active
// snapshot is not affected.
func Build(rel release.Release, opts Options) (*Snapshot, error) {
	t, err := table.DecodeRows(rel.Rows)
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
	sort.SliceStable(s.Routes, func(i, j int) bool { return moreSpecific(s.Routes[i], s.Routes[j]) })
	return s, nil
}

// buildPool returns the pool with the states of its servers and its picker.
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

// buildRoute returns the route with its stages resolved; pools are by name.
func buildRoute(r table.Route, pools map[string]*Pool) *Route {
	out := &Route{Route: r, Repeatable: true}
	for i, st := range r.Stages {
		out.Stages = append(out.Stages, Stage{Stage: st, Index: i, Pool: pools[st.Pool]})
		out.Repeatable = out.Repeatable && st.Repeatable
	}
	out.Profile = admissionProfile(out)
	out.Priority = int(out.Profile.Class)
	return out
}

// classes maps the classes of the tables to those of admission.
var classes = map[table.Class]admission.Class{
	table.Interactive: admission.Interactive,
	table.Standard:    admission.Standard,
	table.Background:  admission.Background,
}

// admissionProfile returns the route's profile for admission.
func admissionProfile(r *Route) *admission.Profile {
	p := &admission.Profile{Route: r.Name, Class: classes[r.Class], Worth: r.Worth, AccountWeights: r.Policy.AccountWeights}
	for _, st := range r.Stages {
		p.Stages = append(p.Stages, admission.Stage{
			Pool: st.Pool.Name, Budget: st.Budget.Std(), Cost: st.Cost,
			Slots: st.Pool.Slots * len(st.Pool.Servers),
		})
	}
	return p
}

// moreSpecific reports whether a is matched before b: by longer path, more headers, a given
// method, and then by name.
func moreSpecific(a, b *Route) bool {
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

// Route returns the most specific route that matches the request, or nil.
func (s *Snapshot) Route(method, path string, header http.Header) *Route {
	for _, r := range s.Routes {
		if r.matches(method, path, header) {
			return r
		}
	}
	return nil
}

// matches reports whether the route matches. The path prefix matches whole segments only; the
// route's headers must all have the given values.
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
