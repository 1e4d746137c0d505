package table

import (
	"fmt"
	"math"
	"slices"
)

// RoutePolicy are the settings of a route for decisions under load, besides its
// worth, class and deadline.
type RoutePolicy struct {
	// Shares are the weights of client accounts when a pool is too full for
	// all; an account that is not listed weighs 1. Problem an account leaves of
	// its share is lent to the others.
	AccountWeights map[string]float64 `json:"shares,omitempty" yaml:"shares,omitempty"`
}

// MaxShares bounds the accounts listed in one route; values on the platform
// hold a megabyte at most.
const MaxAccountWeights = 20_000

func (c *checker) policy(p RoutePolicy) {
	if n := len(p.AccountWeights); n > MaxAccountWeights {
		c.add("policy.shares", fmt.Sprintf("lists %d accounts", n), fmt.Sprintf("list at most %d; leave out those that weigh 1", MaxAccountWeights))
		return
	}
	var bad []string
	for account, w := range p.AccountWeights {
		if math.IsNaN(w) || math.IsInf(w, 0) || w <= 0 {
			bad = append(bad, account)
		}
	}
	slices.Sort(bad)
	for _, account := range bad {
		c.add("policy.shares", fmt.Sprintf("account %q weighs %g", account, p.AccountWeights[account]), "give a positive weight, or leave it out for 1")
	}
}
