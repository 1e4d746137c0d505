package snapshot

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/release"
	"bilberrydale/process/serverstate"
	"bilberrydale/version/pick"
	"bilberrydale/version/table"
)

func route(name string, m table.Match) table.Route {
	return table.Route{
		Name: name, Match: m, Deadline: table.Duration(time.Second), Worth: 1, Class: table.Standard,
		Stages: []table.Stage{{Name: "s", Pool: "p", Budget: table.Duration(time.Second), Repeatable: name != "once"}},
	}
}

func build(t *testing.T, routes ...table.Route) *Snapshot {
	t.Helper()
	g := NewWithT(t)
	rows, err := table.EncodeRows(table.Tables{Routes: routes, Pools: []table.Pool{{
		Name: "p", Kind: table.Service, Slots: 1,
		Servers: []table.Server{{Name: "a", Address: "10.0.0.1:1", Domain: "d", Region: "r"}},
	}}})
	g.Expect(err).NotTo(HaveOccurred())
	var rel release.Release
	for key, data := range rows {
		rel.Rows = append(rel.Rows, release.Row{Key: key, Data: data})
	}
	s, err := Build(rel, Options{
		Registry:  serverstate.NewRegistry(),
		NewPicker: func(_ table.Pool, s []pick.Server) pick.Picker { return pick.NewRandomPicker(s) },
	})
	g.Expect(err).NotTo(HaveOccurred())
	return s
}

// Checks the order of matching and that a path prefix matches whole segments only.
func TestMostSpecificRouteMatches(t *testing.T) {
	vip := map[string]string{"x-tier": "vip"}
	s := build(
		t,
		route("all", table.Match{Path: "/"}),
		route("v1", table.Match{Path: "/v1"}),
		route("drafts", table.Match{Path: "/v1/drafts"}),
		route("post", table.Match{Path: "/v1/drafts", Method: http.MethodPost}),
		route("vip", table.Match{Path: "/v1/drafts", Headers: vip}),
		route("once", table.Match{Path: "/once/"}),
	)
	cases := []struct{ method, path, tier, want string }{
		{http.MethodGet, "/v1/drafts", "", "drafts"},
		{http.MethodPost, "/v1/drafts", "", "post"},
		{http.MethodPost, "/v1/drafts/7", "", "post"},
		{http.MethodPost, "/v1/drafts", "vip", "vip"},
		{http.MethodGet, "/v1/draftsman", "", "v1"}, // the prefix /v1/drafts matches whole segments only
		{http.MethodGet, "/v1", "", "v1"},
		{http.MethodGet, "/v2", "", "all"},
		{http.MethodGet, "/once/a", "", "once"},
	}
	g := NewWithT(t)
	for _, c := range cases {
		h := http.Header{}
		h.Set("X-Tier", c.tier)
		got := s.Route(c.method, c.path, h)
		g.Expect(got).NotTo(BeNil(), c.path)
		g.Expect(got.Name).To(Equal(c.want), "%s %s", c.method, c.path)
	}
	g.Expect(s.Route(http.MethodGet, "/once/a", nil).Repeatable).To(BeFalse())
	g.Expect(s.Route(http.MethodGet, "/v1", nil).Repeatable).To(BeTrue())
}

func TestUnknownPathMatchesNoRoute(t *testing.T) {
	s := build(t, route("v1", table.Match{Path: "/v1"}))
	NewWithT(t).Expect(s.Route(http.MethodGet, "/v2", nil)).To(BeNil())
}

func TestInvalidTablesAreRejected(t *testing.T) {
	_, err := Build(release.Release{Rows: []release.Row{{Key: "routes/a", Data: []byte(`{"name":"a"}`)}}}, Options{})
	NewWithT(t).Expect(err).To(BeAssignableToTypeOf(table.ValidationErrors{}))
}
