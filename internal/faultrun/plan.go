package faultrun

import "math/rand/v2"

// Fault names one kind of failure of a run.
type Fault string

// The failures that a run mixes.
const (
	KillHost       Fault = "kill entry host"
	CutHosts       Fault = "cut entry hosts apart"
	LosePeer       Fault = "lose peer answers"
	PlatformDown   Fault = "platform down"
	PlatformLosing Fault = "platform loses answers"
	PlatformSlow   Fault = "platform slow"
	KillServer     Fault = "kill backend server"
	FreezeServer   Fault = "freeze backend server"
	ResetConns     Fault = "reset connections"
	SilentConns    Fault = "silent connections"
	LoseAnswers    Fault = "answers of connections lost"
	RefuseWork     Fault = "refuse as not started"
	FailWork       Fault = "answer with 500"
	CrossAnswers   Fault = "crossed answers"
	CutAnswers     Fault = "cut answers"
)

// Faults are all of them.
var Faults = []Fault{
	KillHost, CutHosts, LosePeer, PlatformDown, PlatformLosing, PlatformSlow, KillServer, FreezeServer,
	ResetConns, SilentConns, LoseAnswers, RefuseWork, FailWork, CrossAnswers, CutAnswers,
}

// Step is one failure of a plan: it begins when From operations have ended and
// is undone at To.
type Step struct {
	Fault    Fault
	A, B     int // which host or server; B for faults between two
	From, To int
}

// Plan draws failures for a run of n operations on the given number of entry
// hosts and backend servers. Up to two failures hold at a time.
func Plan(seed uint64, n, hosts, servers int) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	for lane := range 2 {
		for at := 10 + 5*lane; at < n; {
			length := 5 + r.IntN(25)
			f := Faults[r.IntN(len(Faults))]
			limit := servers
			switch f {
			case KillHost, CutHosts, LosePeer:
				limit = hosts
			}
			steps = append(steps, Step{Fault: f, A: r.IntN(limit), B: r.IntN(limit), From: at, To: at + length})
			at += length + r.IntN(10)
		}
	}
	return steps
}
