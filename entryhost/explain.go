package entryhost

import (
	"net/http"
	"strings"

	"bilberrydale/process/admission"
	"bilberrydale/version/pick"
	"bilberrydale/version/snapshot"
)

// Explanation is the response to GET /explain: the route, admission decision and
// server choices that a request would get on this entry host now.
type Explanation struct {
	Release  uint64             `json:"release"`         // number of the release in force
	Route    string             `json:"route"`           // empty: no route matches
	Class    string             `json:"class,omitempty"` // of the route
	Decision admission.Decision `json:"verdict"`
	Stages   []StagePlan        `json:"stages,omitempty"`
}

// StagePlan is the server choice for one stage: Server, or Error if no server
// can take the stage, and the candidates that it was made from. All three are empty
// if the pool's picker is not a LocalityPicker.
type StagePlan struct {
	Stage      string           `json:"stage"`
	Pool       string           `json:"pool"`
	Server     string           `json:"server,omitempty"` // the picker chooses at random among equal candidates
	Error      string           `json:"error,omitempty"`
	Candidates []pick.Candidate `json:"candidates,omitempty"`
}

// serveExplain serves GET /explain?method=&path=&account=&header=K:V&timeout=.
// The default method is POST; timeout is ignored, the route's deadline applies.
// Nothing is admitted or dispatched.
func (h *Host) serveExplain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	snap := h.inForce.Load()
	if snap == nil {
		http.Error(w, "no release in force", http.StatusServiceUnavailable)
		return
	}
	header := http.Header{}
	for _, field := range q["header"] {
		name, value, _ := strings.Cut(field, ":")
		header.Set(name, strings.TrimSpace(value))
	}
	method := q.Get("method")
	if method == "" {
		method = http.MethodPost
	}
	out := Explanation{Release: snap.Number}
	if rt := snap.Route(method, q.Get("path"), header); rt != nil {
		h.explainRoute(&out, rt, q.Get("account"))
	}
	writeJSON(w, out)
}

// explainRoute sets the route name, class and admission decision of out and adds a
// plan for each stage of route rt. A stage whose picker is not a LocalityPicker gets
// only its name and pool: no Server, Error or Candidates.
func (h *Host) explainRoute(out *Explanation, rt *snapshot.Route, account string) {
	now := h.clock.Now()
	out.Route, out.Class = rt.Name, string(rt.Class)
	out.Decision = h.policy.controller.Explain(now, &admission.Request{
		Profile: rt.Profile, Account: account, ArrivedAt: now, Deadline: now.Add(rt.Deadline.Std()),
	})
	for i := range rt.Stages {
		st := &rt.Stages[i]
		plan := StagePlan{Stage: st.Name, Pool: st.Pool.Name}
		if p, ok := st.Pool.Picker.(*pick.LocalityPicker); ok {
			plan.setChoice(p, &pick.Attempt{Now: now, Rand: h.rand, Class: rt.Class})
		}
		out.Stages = append(out.Stages, plan)
	}
}

// setChoice fills in the candidates and the server that p chooses for attempt.
func (s *StagePlan) setChoice(p *pick.LocalityPicker, attempt *pick.Attempt) {
	s.Candidates = p.Explain(attempt.Now)
	srv, err := p.Preview(attempt)
	if err != nil {
		s.Error = err.Error()
		return
	}
	s.Server = srv.Name
}
