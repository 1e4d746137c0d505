package entryhost

import (
	"net/http"
	"strings"

	"bilberrydale/process/admission"
	"bilberrydale/version/pick"
	"bilberrydale/version/snapshot"
)

// Explanation says what this entry host would do with a request now.
type Explanation struct {
	Release  uint64             `json:"release"`
	Route    string             `json:"route"` // empty: no route matches
	Class    string             `json:"class,omitempty"`
	Decision admission.Decision `json:"verdict"`
	Stages   []StagePlan        `json:"stages,omitempty"`
}

// StagePlan is where one stage would run now.
type StagePlan struct {
	Stage      string           `json:"stage"`
	Pool       string           `json:"pool"`
	Server     string           `json:"server,omitempty"` // the choice is random among equals
	Error      string           `json:"error,omitempty"`
	Candidates []pick.Candidate `json:"candidates,omitempty"`
}

// explain answers GET /explain?method=&path=&account=&header=K:V&timeout=.
func (h *Host) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	snap := h.inForce.Load()
	if snap == nil {
		http.Error(w, "no release in force", http.StatusServiceUnavailable)
		return
	}
	header := http.Header{}
	for _, kv := range q["header"] {
		k, v, _ := strings.Cut(kv, ":")
		header.Set(k, strings.TrimSpace(v))
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

func (h *Host) explainRoute(out *Explanation, rt *snapshot.Route, account string) {
	now := h.clock.Now()
	out.Route, out.Class = rt.Name, string(rt.Class)
	out.Decision = h.policy.control.Explain(now, &admission.Request{
		Profile: rt.Profile, Account: account, ArrivedAt: now, Deadline: now.Add(rt.Deadline.Std()),
	})
	for i := range rt.Stages {
		st := &rt.Stages[i]
		plan := StagePlan{Stage: st.Name, Pool: st.Pool.Name}
		if p, ok := st.Pool.Picker.(*pick.LocalityPicker); ok {
			plan.place(p, &pick.Attempt{Now: now, Rand: h.rand, Class: rt.Class})
		}
		out.Stages = append(out.Stages, plan)
	}
}

func (s *StagePlan) place(p *pick.LocalityPicker, info *pick.Attempt) {
	s.Candidates = p.Explain(info.Now)
	srv, err := p.Preview(info)
	if err != nil {
		s.Error = err.Error()
		return
	}
	s.Server = srv.Name
}
