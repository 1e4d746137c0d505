package faultrun

import "math/rand/v2"

// Fault names a kind of injected fault. The names appear in Report.Faults.
type Fault string

// The faults that a run injects.
const (
	KillHost               Fault = "kill entry host"
	PartitionHosts         Fault = "cut entry hosts apart"
	LosePeerResponses      Fault = "lose peer answers"
	PlatformDown           Fault = "platform down"
	PlatformLosesResponses Fault = "platform loses answers"
	PlatformSlow           Fault = "platform slow"
	KillServer             Fault = "kill backend server"
	FreezeServer           Fault = "freeze backend server"
	ResetConns             Fault = "reset connections"
	SilenceConns           Fault = "silent connections"
	LoseResponses          Fault = "answers of connections lost"
	RefuseRequests         Fault = "refuse as not started"
	FailRequests           Fault = "answer with 500"
	SwapResponses          Fault = "crossed answers"
	TruncateResponses      Fault = "cut answers"
)

// Faults lists all faults.
var Faults = []Fault{
	KillHost, PartitionHosts, LosePeerResponses, PlatformDown, PlatformLosesResponses, PlatformSlow, KillServer, FreezeServer,
	ResetConns, SilenceConns, LoseResponses, RefuseRequests, FailRequests, SwapResponses, TruncateResponses,
}

// Step is one fault of a plan. It starts when StartAfter operations have ended
// and is undone when EndAfter operations have ended.
type Step struct {
	Fault                Fault
	Target, Peer         int // index, from 0, of the host or server; Peer is the other host of a fault between two
	StartAfter, EndAfter int
}

// Plan draws the faults for a run of n operations with the given numbers of
// entry hosts and backend servers. The same seed gives the same plan. At most
// two faults are active at a time.
func Plan(seed uint64, n, hosts, servers int) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	for track := range 2 {
		for start := 10 + 5*track; start < n; {
			length := 5 + r.IntN(25)
			f := Faults[r.IntN(len(Faults))]
			limit := servers
			switch f {
			case KillHost, PartitionHosts, LosePeerResponses:
				limit = hosts
			}
			steps = append(steps, Step{Fault: f, Target: r.IntN(limit), Peer: r.IntN(limit), StartAfter: start, EndAfter: start + length})
			start += length + r.IntN(10)
		}
	}
	return steps
}
