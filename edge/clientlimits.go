package edge

import (
	"cmp"
	"time"

	"bilberrydale/connection/clientconn"
)

// Limits of client connections for which the configuration has none, or before it is known.
const (
	headerReadTimeout = 5 * time.Second // for the headers of a request to arrive
	clientIdleTimeout = 2 * time.Minute // after which an idle connection is closed
)

// clientLimits returns the limits of client connections that hold now.
func (h *Host) clientLimits() clientconn.Limits {
	limits := clientconn.Limits{HeaderTimeout: headerReadTimeout, IdleTimeout: clientIdleTimeout}
	if p := h.plan.Load(); p != nil {
		limits.HeaderTimeout = cmp.Or(max(p.Limits.HeaderTimeout, 0), limits.HeaderTimeout)
		limits.IdleTimeout = cmp.Or(max(p.Limits.IdleTimeout, 0), limits.IdleTimeout)
	}
	return limits
}
