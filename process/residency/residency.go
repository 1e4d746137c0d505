// Package residency says in which regions a request may be served. What it allows
// binds all that comes of the request: the backend servers that run it and its stages,
// the hosts that collect its stage work, and the results that are kept for it.
package residency

import "slices"

// Set is the regions that may serve a request. The zero Set allows every region.
// The lists belong to the configuration; nobody changes them.
type Set struct {
	// Route and Account are the regions that the request's route and its client
	// account allow; empty: every one. A region has to be in both.
	RouteRegions, AccountRegions []string
}

// Allows reports whether the request may be served in a region.
func (s Set) Allows(region string) bool {
	return (len(s.RouteRegions) == 0 || slices.Contains(s.RouteRegions, region)) &&
		(len(s.AccountRegions) == 0 || slices.Contains(s.AccountRegions, region))
}

// Bounded reports whether some regions are left out.
func (s Set) Restricted() bool { return len(s.RouteRegions) > 0 || len(s.AccountRegions) > 0 }

// Nowhere reports whether route and account allow no region in common.
func (s Set) Empty() bool {
	return len(s.RouteRegions) > 0 && len(s.AccountRegions) > 0 && !slices.ContainsFunc(s.RouteRegions, s.Allows)
}

// AllowsAny reports whether one of the regions may serve the request.
func (s Set) AllowsAny(regions []string) bool { return slices.ContainsFunc(regions, s.Allows) }
