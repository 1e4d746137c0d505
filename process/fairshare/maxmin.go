// Package fairshare divides scarce capacity among client accounts by weighted max-min fairness:
// an account that asks for less than its share gets all that it asks for, and what it leaves goes
// to the others.
package fairshare

// Demand is what one account asks for, in any unit, and its weight relative to the other accounts.
type Demand struct{ Amount, Weight float64 }

// Level returns the amount per unit of weight up to which demands are met in full when capacity, in
// the unit of the demands, is divided among them. The share of an account is the smaller of its
// demand and the level times its weight.
func Level(capacity float64, demands []Demand) float64 {
	level := 0.0
	for range maxFillRounds {
		var met, unmetWeight float64
		for _, d := range demands {
			if d.Amount <= level*d.Weight {
				met += d.Amount
			} else {
				unmetWeight += d.Weight
			}
		}
		if unmetWeight == 0 {
			return level
		}
		next := (capacity - met) / unmetWeight
		if next <= level*(1+fillPrecision) {
			return level
		}
		level = next
	}
	return level
}

// Limits of the iteration in Level.
const (
	maxFillRounds = 20   // iterations
	fillPrecision = 1e-3 // relative increase below which the level is final
)
