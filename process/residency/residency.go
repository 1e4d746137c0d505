// Package residency determines the regions in which a request may be served. The
// restriction applies to everything that the request causes: the backend servers that run
// it and its stages, the hosts that collect its stage work, and its stored results.
package residency

import "slices"

// Set is the set of regions that may serve a request. The zero Set allows every region.
// The slices belong to the configuration and must not be modified.
type Set struct {
	// RouteRegions and AccountRegions are the regions that the request's route and client
	// account allow; empty: all regions. A region has to be allowed by both.
	RouteRegions, AccountRegions []string
}

// Allows reports whether the request may be served in a region.
func (s Set) Allows(region string) bool {
	return (len(s.RouteRegions) == 0 || slices.Contains(s.RouteRegions, region)) &&
		(len(s.AccountRegions) == 0 || slices.Contains(s.AccountRegions, region))
}

// Restricted reports whether route or client account restrict the regions.
func (s Set) Restricted() bool { return len(s.RouteRegions) > 0 || len(s.AccountRegions) > 0 }

// Empty reports whether route and client account have no allowed region in common.
func (s Set) Empty() bool {
	return len(s.RouteRegions) > 0 && len(s.AccountRegions) > 0 && !slices.ContainsFunc(s.RouteRegions, s.Allows)
}

// AllowsAny reports whether the request may be served in at least one of the regions.
func (s Set) AllowsAny(regions []string) bool { return slices.ContainsFunc(regions, s.Allows) }
