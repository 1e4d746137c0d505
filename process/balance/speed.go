package balance

import (
	"time"

	"bilberrydale/process/directory"
	"bilberrydale/process/serverspeed"
)

const (
	// maxSpeedCost bounds the cost of a slow server. One in backoff costs more.
	maxSpeedCost = 2 * time.Second
	// trialDiscount is the value of a request that shows whether a slow server is well again. It is
	// less than a round trip to another region.
	trialDiscount = 20 * time.Millisecond
)

// speedCost returns what a server costs beyond one that works as usual, with its load: the additional
// time of this request, and of those before it.
func (q *Query) speedCost(s *directory.Server, f serverspeed.Figures, load int) time.Duration {
	if q.MayRepeat && load == 0 && s.Speed.Slow() && s.Speed.TrialDue(q.Now) {
		return -trialDiscount
	}
	usual := q.UsualTime
	if usual == 0 {
		usual = queuedRequestCost
	}
	slots := max(int(float64(s.Slots)*f.Room), 1)
	queued, queuedAsUsual := max(load+1-slots, 0), max(load+1-s.Slots, 0)
	cost := (f.RelativeTime-1)*float64(usual+time.Duration(load)*concurrentRequestCost) +
		(f.RelativeTime*float64(queued)-float64(queuedAsUsual))*float64(queuedRequestCost)
	return time.Duration(min(cost, float64(maxSpeedCost)))
}
