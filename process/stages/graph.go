package stages

import "time"

// graph holds what follows from the dependencies among a request's stages, by stage. It is computed
// once for each request, in time linear in the dependencies: the number of paths through the stages
// doubles with each stage if all depend on all earlier ones.
type graph struct {
	positions  []stagePosition
	successors [][]int // indexes of the stages that depend on the stage
}

// stagePosition is the position of a stage in a request's dependency graph.
type stagePosition struct {
	depth        int  // stages before it on the longest chain, without skipped ones
	hasSuccessor bool // another stage uses its results; otherwise the request itself uses them
}

// graph returns the dependency graph of the request's stages.
func (r *Request) graph() graph {
	g := graph{make([]stagePosition, len(r.Stages)), make([][]int, len(r.Stages))}
	for i, s := range r.Stages {
		for _, dependency := range s.DependsOn {
			before := &g.positions[dependency]
			depth := before.depth
			if r.Stages[dependency].Items > 0 {
				depth++
			}
			g.positions[i].depth = max(g.positions[i].depth, depth)
			before.hasSuccessor = before.hasSuccessor || s.Items > 0
			g.successors[dependency] = append(g.successors[dependency], i)
		}
	}
	return g
}

// finalStages returns the indexes of the stages that no other stage depends on.
func (g *graph) finalStages() []int {
	var out []int
	for i, successors := range g.successors {
		if len(successors) == 0 {
			out = append(out, i)
		}
	}
	return out
}

// minTimesAfter returns the minimum duration of the stages that follow each stage of a request.
func (k *Coordinator) minTimesAfter(r *Request) []time.Duration {
	after := make([]time.Duration, len(r.Stages))
	for i := len(r.Stages) - 1; i >= 0; i-- {
		s := &r.Stages[i]
		fromHere := after[i]
		if svc, ok := k.service(s.Service); ok && s.Items > 0 {
			fromHere += svc.CallTime
		}
		for _, dependency := range s.DependsOn {
			after[dependency] = max(after[dependency], fromHere)
		}
	}
	return after
}
