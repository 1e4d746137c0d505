package table

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrydale/process/release"
)

// validTables returns tables with one route and one pool.
func validTables() Tables {
	return Tables{
		Routes: []Route{{
			Name: "draft", Match: Match{Path: "/v1/drafts"}, Deadline: Duration(5 * time.Second), Worth: 1, Class: Standard,
			Stages: []Stage{{Name: "generate", Pool: "model", Budget: Duration(time.Second), Repeatable: true, Stream: true}},
		}},
		Pools: []Pool{{
			Name: "model", Kind: Engine, Model: Model{Name: "m"}, Slots: 8,
			Servers: []Server{{Name: "m-1", Address: "10.0.0.1:8000", Domain: "d1", Region: "r1"}},
		}},
	}
}

func TestValidateReportsRowAndField(t *testing.T) {
	cases := map[string]struct {
		edit       func(*Tables)
		row, field string
	}{
		"empty name":       {func(t *Tables) { t.Routes[0].Name = "" }, "routes[0]", "name"},
		"duplicate route":  {func(t *Tables) { t.Routes = append(t.Routes, t.Routes[0]) }, "routes/draft", "name"},
		"duplicate match":  {func(t *Tables) { t.Routes = append(t.Routes, t.Routes[0]); t.Routes[1].Name = "b" }, "routes/b", "match"},
		"dangling pool":    {func(t *Tables) { t.Routes[0].Stages[0].Pool = "modle" }, "routes/draft", "stages[0].pool"},
		"no stages":        {func(t *Tables) { t.Routes[0].Stages = nil }, "routes/draft", "stages"},
		"budgets exceed":   {func(t *Tables) { t.Routes[0].Stages[0].Budget = Duration(6 * time.Second) }, "routes/draft", "deadline"},
		"no deadline":      {func(t *Tables) { t.Routes[0].Deadline = 0 }, "routes/draft", "deadline"},
		"long deadline":    {func(t *Tables) { t.Routes[0].Deadline = MaxDeadline + 1 }, "routes/draft", "deadline"},
		"worth":            {func(t *Tables) { t.Routes[0].Worth = -1 }, "routes/draft", "worth"},
		"class":            {func(t *Tables) { t.Routes[0].Class = "fast" }, "routes/draft", "class"},
		"relative path":    {func(t *Tables) { t.Routes[0].Match.Path = "v1" }, "routes/draft", "match.path"},
		"method":           {func(t *Tables) { t.Routes[0].Match.Method = "post" }, "routes/draft", "match.method"},
		"header name":      {func(t *Tables) { t.Routes[0].Match.Headers = map[string]string{"a b": "c"} }, "routes/draft", "match.headers"},
		"not repeatable":   {func(t *Tables) { t.Routes[0].Stages[0].Repeatable = false }, "routes/draft", "stages[0].stream"},
		"stage path":       {func(t *Tables) { t.Routes[0].Stages[0].Path = "/a?b" }, "routes/draft", "stages[0].path"},
		"negative cost":    {func(t *Tables) { t.Routes[0].Stages[0].Cost = -1 }, "routes/draft", "stages[0].cost"},
		"kind":             {func(t *Tables) { t.Pools[0].Kind = "gpu" }, "pools/model", "kind"},
		"no model":         {func(t *Tables) { t.Pools[0].Model = Model{} }, "pools/model", "model.name"},
		"model of service": {func(t *Tables) { t.Pools[0].Kind = Service }, "pools/model", "model"},
		"slots":            {func(t *Tables) { t.Pools[0].Slots = 0 }, "pools/model", "slots"},
		"no servers":       {func(t *Tables) { t.Pools[0].Servers = nil }, "pools/model", "servers"},
		"address":          {func(t *Tables) { t.Pools[0].Servers[0].Address = "10.0.0.1" }, "pools/model", "servers[0].address"},
		"port":             {func(t *Tables) { t.Pools[0].Servers[0].Address = "10.0.0.1:0" }, "pools/model", "servers[0].address"},
		"unspecified":      {func(t *Tables) { t.Pools[0].Servers[0].Address = "0.0.0.0:80" }, "pools/model", "servers[0].address"},
		"no domain":        {func(t *Tables) { t.Pools[0].Servers[0].Domain = "" }, "pools/model", "servers[0].domain"},
		"weight":           {func(t *Tables) { t.Pools[0].Servers[0].Weight = -1 }, "pools/model", "servers[0].weight"},
		"2 regions":        {func(t *Tables) { t.Pools = append(t.Pools, otherPool("m-2", "10.0.0.2:1", "d1", "r2")) }, "pools/other", "servers[0].region"},
		"shared address":   {func(t *Tables) { t.Pools = append(t.Pools, otherPool("m-2", "10.0.0.1:8000", "d1", "r1")) }, "pools/other", "servers[0].address"},
		"2 addresses":      {func(t *Tables) { t.Pools = append(t.Pools, otherPool("m-1", "10.0.0.9:8000", "d1", "r1")) }, "pools/other", "servers[0].address"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tables := validTables()
			g.Expect(Validate(tables)).To(Succeed())
			c.edit(&tables)
			err := Validate(tables)
			g.Expect(err).To(BeAssignableToTypeOf(ValidationErrors{}))
			got := err.(ValidationErrors)[0] //nolint:errorlint // the type is asserted above
			g.Expect([]string{got.Row, got.Field}).To(Equal([]string{c.row, c.field}), err.Error())
			g.Expect(got.Fix).NotTo(BeEmpty())
		})
	}
}

// otherPool returns a second pool with one server.
func otherPool(name, addr, domain, region string) Pool {
	return Pool{Name: "other", Kind: Service, Slots: 1, Servers: []Server{{Name: name, Address: addr, Domain: domain, Region: region}}}
}

const invalidRoutes = `routes:
  - name: draft
    match: {path: /v1/drafts}
    deadline: 5 seconds
    worth: 1
    clas: standard
    class: standard
    stages:
      - {name: generate, pool: modle, budget: 1s, repeatable: true}
      - {name: generate, pool: model, budget: 1s, repeatable: maybe}
`

const invalidPools = `pools:
  - name: model
    kind: engine
    model: {name: m}
    slots: 8
    slots: 9
    servers:
      - {name: m-1, address: '10.0.0.1', domain: d1, region: r1}
      - &more {name: m-2, address: '10.0.0.2:80', domain: d1, region: r1}
`

// After a freeze operators release many accumulated changes together. If only the first error
// were reported, they would need one attempt per error.
func TestParseReportsEveryErrorOfAllFiles(t *testing.T) {
	g := NewWithT(t)
	_, err := Parse([]File{{"pools.yaml", []byte(invalidPools)}, {"routes.yaml", []byte(invalidRoutes)}})
	var errs ValidationErrors
	g.Expect(err).To(BeAssignableToTypeOf(errs))
	errs = err.(ValidationErrors) //nolint:errorlint // the type is asserted above
	var got []string
	for _, e := range errs {
		got = append(got, fmt.Sprintf("%s:%d %s %s", e.File, e.Line, e.Row, e.Field))
	}
	g.Expect(got).To(ConsistOf(
		"pools.yaml:6 pools/model slots",
		"pools.yaml:8 pools/model servers[0].address",
		"pools.yaml:9 pools/model servers[1]",
		"pools.yaml:9 pools/model servers[1].name", // not decoded because of the anchor
		"pools.yaml:9 pools/model servers[1].address",
		"pools.yaml:9 pools/model servers[1].domain",
		"pools.yaml:9 pools/model servers[1].region",
		"routes.yaml:4 routes/draft deadline",
		"routes.yaml:6 routes/draft clas",
		"routes.yaml:9 routes/draft stages[0].pool",
		"routes.yaml:10 routes/draft stages[1].repeatable",
		"routes.yaml:10 routes/draft stages[1].name",
	), err.Error())
}

func TestErrorsOutsideRowsAreReportedForTheFile(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]string{
		"":                           "a.yaml:1: file: content: the file is empty",
		"rotues: []":                 "a.yaml:1: file: rotues: there is no such field",
		"pools: {}":                  "a.yaml:1: file: pools: is not a list",
		"pools: [1]":                 "a.yaml:1: pools[0]: row: is not a mapping",
		"pools: []\n---\nroutes: []": "a.yaml:1: file: content: there is more than one document",
		"pools: [":                   "a.yaml:1: file: content: yaml:",
	} {
		_, err := Parse([]File{{"a.yaml", []byte(text)}})
		g.Expect(err).To(MatchError(ContainSubstring(want)), text)
	}
}

func TestExamplesAreValid(t *testing.T) {
	g := NewWithT(t)
	entries, err := os.ReadDir("../../examples")
	g.Expect(err).NotTo(HaveOccurred())
	var dirs []string
	for _, e := range entries {
		if e.IsDir() {
			dirs = append(dirs, filepath.Join("../../examples", e.Name()))
		}
	}
	g.Expect(len(dirs)).To(BeNumerically(">=", 2))
	for _, dir := range dirs {
		tables, err := ReadDir(dir)
		g.Expect(err).NotTo(HaveOccurred(), dir)
		g.Expect(tables.Routes).NotTo(BeEmpty(), dir)
	}
}

func TestDecodeRowsRejectsInvalidRows(t *testing.T) {
	row := func(key, data string) release.Row { return release.Row{Key: key, Data: []byte(data)} }
	for name, r := range map[string]release.Row{
		"unknown table": row("hosts/a", `{"name":"a"}`),
		"unknown field": row("pools/a", `{"name":"a","colour":1}`),
		"other name":    row("pools/a", `{"name":"b"}`),
		"two values":    row("pools/a", `{"name":"a"}{}`),
		"no JSON":       row("routes/a", `name: a`),
		"bad duration":  row("routes/a", `{"name":"a","deadline":"soon"}`),
		"too large":     row("routes/a", `{"name":"`+strings.Repeat("a", MaxRowBytes)+`"}`),
	} {
		_, err := DecodeRows([]release.Row{r})
		NewWithT(t).Expect(err).To(HaveOccurred(), name)
	}
}

func TestReadDirRejectsEmptyDirectoryAndLargeFile(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	_, err := ReadDir(dir)
	g.Expect(err).To(MatchError(ContainSubstring(RoutesFile)))
	g.Expect(os.WriteFile(filepath.Join(dir, "big.yaml"), make([]byte, MaxFileBytes+1), 0o600)).To(Succeed())
	_, err = ReadDir(dir)
	g.Expect(err).To(MatchError(ContainSubstring("big.yaml")))
}

// genTables generates valid tables.
func genTables(t *rapid.T) Tables {
	name := rapid.StringMatching(`[a-z][a-z0-9.-]{0,8}`)
	pools := rapid.SliceOfNDistinct(name, 1, 4, rapid.ID).Draw(t, "pools")
	var out Tables
	for i, p := range pools {
		pool := Pool{Name: p, Kind: rapid.SampledFrom([]PoolKind{Encoder, Service}).Draw(t, "kind"), Slots: rapid.IntRange(1, 99).Draw(t, "slots")}
		for j := range rapid.IntRange(1, 3).Draw(t, "servers") {
			n := p + string(rune('a'+j)) + string(rune('0'+i))
			pool.Servers = append(pool.Servers, Server{Name: n, Address: "10.0." + string(rune('0'+i)) + "." + string(rune('0'+j)) + ":80", Domain: "d", Region: "r", Weight: rapid.Float64Range(0, 10).Draw(t, "weight")})
		}
		out.Pools = append(out.Pools, pool)
	}
	for _, r := range rapid.SliceOfNDistinct(name, 0, 4, rapid.ID).Draw(t, "routes") {
		route := Route{Name: r, Match: Match{Path: "/" + r}, Deadline: Duration(time.Minute), Worth: rapid.Float64Range(0.1, 9).Draw(t, "worth"), Class: Background}
		value := rapid.String().Filter(isValidHeaderValue)
		route.Match.Headers = rapid.MapOfN(rapid.StringMatching(`X-[A-Z]{1,4}`), value, 1, 3).Draw(t, "headers")
		for i := range rapid.IntRange(1, MaxStages).Draw(t, "stages") {
			route.Stages = append(route.Stages, Stage{
				Name: "s" + string(rune('a'+i)), Pool: rapid.SampledFrom(pools).Draw(t, "pool"),
				Budget: Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "budget")), Repeatable: rapid.Bool().Draw(t, "repeatable"),
			})
		}
		out.Routes = append(out.Routes, route)
	}
	return out
}

// A match with a header value that HTTP cannot transmit selects no request. A value with a tab
// before a line break was written by WriteDir to a file that ReadDir rejects, so that an
// operator could not apply exported tables again.
func TestInvalidHeaderValueIsReported(t *testing.T) {
	for _, value := range []string{"\t\n", "a\nb", "\x00", " a", "a ", "a\tb", "\u0085"} {
		g := NewWithT(t)
		tables := Tables{
			Pools: []Pool{{Name: "p", Kind: Service, Slots: 1, Servers: []Server{{Name: "s", Address: "10.0.0.1:80", Domain: "d", Region: "r"}}}},
			Routes: []Route{{
				Name: "r", Match: Match{Path: "/r", Headers: map[string]string{"X-A": value}}, Deadline: Duration(time.Minute), Worth: 1, Class: Standard,
				Stages: []Stage{{Name: "s", Pool: "p", Budget: Duration(time.Second)}},
			}},
		}
		g.Expect(Validate(tables)).To(MatchError(ContainSubstring("match.headers")), "%q", value)
		tables.Routes[0].Match.Headers["X-A"] = "value: with 'signs' # é"
		g.Expect(Validate(tables)).To(Succeed())
	}
}

// Text with invisible characters is a mistake, such as a tab inserted by an editor. It would
// match no server, and it is read from a written file as different text or not at all.
func TestInvisibleCharactersAreReported(t *testing.T) {
	for field, corrupt := range map[string]func(*Pool){
		"role":               func(p *Pool) { p.Role = "\t\n" },
		"model.name":         func(p *Pool) { p.Model.Name = "a\tb" },
		"model.adapter":      func(p *Pool) { p.Model.Adapter = "\x01" },
		"model.version":      func(p *Pool) { p.Model.Version = "1 2" },
		"servers[0].address": func(p *Pool) { p.Servers[0].Address = "\t\n:80" },
	} {
		p := Pool{
			Name: "p", Kind: Engine, Slots: 1, Model: Model{Name: "m", Adapter: "org/a", Version: "1"}, Role: "prefill",
			Servers: []Server{{Name: "s", Address: "10.0.0.1:80", Domain: "d", Region: "r"}},
		}
		g := NewWithT(t)
		g.Expect(Validate(Tables{Pools: []Pool{p}})).To(Succeed())
		corrupt(&p)
		g.Expect(Validate(Tables{Pools: []Pool{p}})).To(MatchError(ContainSubstring(field)), field)
	}
}

func TestTablesRoundTripThroughRowsAndFiles(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		want := genTables(rt)
		g.Expect(Validate(want)).To(Succeed())
		g.Expect(WriteDir(dir, want)).To(Succeed())
		got, err := ReadDir(dir)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want))
		rows, err := EncodeRows(got)
		g.Expect(err).NotTo(HaveOccurred())
		var list []release.Row
		for _, r := range want.Routes {
			list = append(list, release.Row{Key: RouteKeyPrefix + r.Name, Data: rows[RouteKeyPrefix+r.Name]})
		}
		for _, p := range want.Pools {
			list = append(list, release.Row{Key: PoolKeyPrefix + p.Name, Data: rows[PoolKeyPrefix+p.Name]})
		}
		decoded, err := DecodeRows(list)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded).To(Equal(want))
	})
}
