package gateway

import (
	"sync"
	"time"
)

// prefillTimes estimates the prefill time per prompt token for the engines of each service, by
// a regression of the time to the first event on the number of uncached prompt tokens. Load
// balancing derives the benefit of a cached prompt prefix from it.
type prefillTimes struct {
	mu        sync.Mutex            // guards byService
	byService map[string]regression // by service name
}

const (
	// initialPrefillTimePerToken is the estimate before any stream was observed: engines process
	// 30 to 60 prompt tokens per millisecond.
	initialPrefillTimePerToken = 20 * time.Microsecond
	// Bounds of the estimate: a regression over few streams can have any slope.
	minPrefillTimePerToken = 5 * time.Microsecond
	maxPrefillTimePerToken = 200 * time.Microsecond
	// regressionWeight is the weight of the latest stream. The time to the first event
	// includes the wait for the prefill of other prompts, which varies more than the
	// prefill itself. These variations average out over a few hundred streams.
	regressionWeight = 0.01
	// initialTokenStdDev is the standard deviation of prompt lengths, in tokens, with
	// which initialPrefillTimePerToken enters the regression.
	initialTokenStdDev = 1000
)

// estimate returns the prefill time of one prompt token at the engines of a service.
func (t *prefillTimes) estimate(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	reg, ok := t.byService[service]
	if !ok {
		return initialPrefillTimePerToken
	}
	return min(max(time.Duration(reg.slope()*float64(time.Second)), minPrefillTimePerToken), maxPrefillTimePerToken)
}

// observe adds a stream whose engine had to process the given number of uncached tokens
// before the first event.
func (t *prefillTimes) observe(service string, tokens int, toFirstEvent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byService == nil {
		t.byService = map[string]regression{}
	}
	reg, ok := t.byService[service]
	if !ok {
		variance := float64(initialTokenStdDev * initialTokenStdDev)
		reg = regression{meanX: float64(tokens), meanY: toFirstEvent.Seconds(), varX: variance, covXY: variance * initialPrefillTimePerToken.Seconds()}
	}
	reg.observe(float64(tokens), toFirstEvent.Seconds())
	t.byService[service] = reg
}

// regression is an exponentially weighted linear regression of y, the time to the first event
// in seconds, on x, the number of uncached prompt tokens.
type regression struct {
	meanX, meanY float64 // means of x and y
	varX, covXY  float64 // variance of x, covariance of both
}

// observe adds a point.
func (reg *regression) observe(x, y float64) {
	dx, dy := x-reg.meanX, y-reg.meanY
	reg.meanX += regressionWeight * dx
	reg.meanY += regressionWeight * dy
	reg.varX = (1 - regressionWeight) * (reg.varX + regressionWeight*dx*dx)
	reg.covXY = (1 - regressionWeight) * (reg.covXY + regressionWeight*dx*dy)
}

// slope returns the slope of the regression line, in seconds per token.
func (reg *regression) slope() float64 { return reg.covXY / max(reg.varX, 1) }
