package table

import (
	"fmt"
	"math"
	"slices"
)

// RoutePolicy holds the settings of a route for admission under overload, in addition to its
// worth, class and deadline.
type RoutePolicy struct {
	// AccountWeights are the fair-share weights of client accounts, by account, for pools that
	// cannot serve all requests. An account that is not listed has weight 1. The unused part of
	// an account's share is available to the others.
	AccountWeights map[string]float64 `json:"shares,omitempty" yaml:"shares,omitempty"`
}

// MaxAccountWeights is the maximum number of accounts listed in one route: an object of the
// platform holds at most one megabyte.
const MaxAccountWeights = 20_000

// checkPolicy checks the number of account weights and that all are positive and finite.
func (v *validator) checkPolicy(p RoutePolicy) {
	if n := len(p.AccountWeights); n > MaxAccountWeights {
		v.addError("policy.shares", fmt.Sprintf("lists %d client accounts", n), fmt.Sprintf("list at most %d; leave out those with weight 1", MaxAccountWeights))
		return
	}
	var invalid []string
	for account, w := range p.AccountWeights {
		if math.IsNaN(w) || math.IsInf(w, 0) || w <= 0 {
			invalid = append(invalid, account)
		}
	}
	slices.Sort(invalid)
	for _, account := range invalid {
		v.addError("policy.shares", fmt.Sprintf("client account %q has the weight %g", account, p.AccountWeights[account]), "give a positive weight, or leave it out for 1")
	}
}
