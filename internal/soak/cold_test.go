package soak

import "time"

// restartCold lets a server start again under its id at a software version, in the cold state, and
// ends the fault that kept it away. Its entry tells after the given number of requests.
func (env *environment) restartCold(b *backendServer, version string, arrive func(), untold int) {
	b.Restart(version)
	env.mu.Lock()
	b.restarts++
	b.coldUntil, b.coldRequests = time.Now().Add(coldDuration), append(b.coldRequests, nil)
	env.mu.Unlock()
	arrive()
	env.requests.awaitMore(untold)
	env.publishEntry(b, false)
}

// The request rate that engines accept while they are cold, and the number of requests within
// coldCountWindow that counts as a violation: more than one and a half times the rate plus 5.
const (
	coldDuration          = 3 * time.Second
	coldRequestsPerSecond = 1.0
	maxColdRequests       = 1.5*coldRequestsPerSecond + 5
	coldCountWindow       = time.Second
)

// checkColdServers checks the request rate of engines while they were cold. It is called with
// env.mu held.
func (env *environment) checkColdServers() {
	for _, b := range env.servers {
		for _, times := range b.coldRequests {
			for i := range times {
				n := 0
				for _, at := range times[i:] {
					if at.Sub(times[i]) < coldCountWindow {
						n++
					}
				}
				if b.Service == "model" && !env.noColdLimit && float64(n) > maxColdRequests {
					env.t.Errorf("%s got %d requests in a second while it was cold", b.ID, n)
				}
			}
		}
	}
}
