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
	crowded := max(float64(load+1)/float64(slots)-1, 0) // times the usual time, beyond it
	cost := (f.RelativeTime-1)*float64(usual+time.Duration(load)*concurrentRequestCost) + f.RelativeTime*crowded*float64(usual)
	queuedAsUsual := time.Duration(max(load+1-s.Slots, 0)) * queuedRequestCost // counted already
	return time.Duration(min(max(cost-float64(queuedAsUsual), 0), float64(maxSpeedCost)))
}
