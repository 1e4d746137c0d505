package plan

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestLongestPathPrefixMatches(t *testing.T) {
	g := NewWithT(t)
	p := Compile(Config{Routes: []Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "x", Host: "a.example", PathPrefix: "/x/"},
		{Name: "xy", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "B.example", PathPrefix: "/x/"},
	}})
	for path, want := range map[string]string{"/": "all", "/x": "all", "/x/": "x", "/x/y/z": "xy", "/x/yy": "x"} {
		g.Expect(p.Match("a.example", path).Name).To(Equal(want), path)
	}
	g.Expect(p.Match("B.example:8080", "/x/1").Name).To(Equal("other"))
	g.Expect(p.Match("b.example", "/y/")).To(BeNil())
	g.Expect(p.Match("c.example", "/x/")).To(BeNil())
}

func TestServicesArePickedByWeight(t *testing.T) {
	g := NewWithT(t)
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"none", 0}}}
	n := map[string]int{}
	for i := range 1000 {
		n[r.PickService(float64(i)/1000)]++
	}
	g.Expect(n).To(Equal(map[string]int{"a": 900, "b": 100}))
	g.Expect((&Route{}).PickService(0.5)).To(BeEmpty())
}

func TestAccountByKey(t *testing.T) {
	g := NewWithT(t)
	p := Compile(Config{Accounts: []Account{{Name: "a", Keys: []string{"1", "2"}}, {Name: "b", Keys: []string{"3"}}}})
	g.Expect(p.AccountByKey("2").Name).To(Equal("a"))
	g.Expect(p.AccountByKey("3").Name).To(Equal("b"))
	g.Expect(p.AccountByKey("")).To(BeNil())
	g.Expect(p.KeysRequired()).To(BeTrue())
	g.Expect(Compile(Config{}).KeysRequired()).To(BeFalse())
	g.Expect(Compile(Config{Accounts: []Account{{Name: "a"}}}).KeysRequired()).To(BeTrue(), "all its keys have been revoked")
	g.Expect(Compile(Config{Accounts: []Account{}}).KeysRequired()).To(BeTrue(), "all accounts have been removed")
}
