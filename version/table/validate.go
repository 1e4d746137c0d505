package table

import (
	"fmt"
	"net"
	"strings"
)

// Fault is one thing wrong in the tables.
type Fault struct {
	Row   string // "routes/draft"
	Field string // "stages[1].pool"
	What  string
	Mend  string
}

// Faults is the error that reports every fault of a pair of tables at once.
type Faults []Fault

// Error implements error: one line a fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = fmt.Sprintf("%s: %s: %s; %s", x.Row, x.Field, x.What, x.Mend)
	}
	return strings.Join(lines, "\n")
}

// MaxStages bounds the stages of a route.
const MaxStages = 12

type checker struct{ faults Faults }

func (c *checker) add(row, field, what, mend string) {
	c.faults = append(c.faults, Fault{row, field, what, mend})
}

// Validate checks both tables together and returns Faults, or nil.
func Validate(t Tables) error {
	c := &checker{}
	pools := c.pools(t.Pools)
	c.routes(t.Routes, pools)
	if len(c.faults) > 0 {
		return c.faults
	}
	return nil
}

func (c *checker) pools(pools []Pool) map[string]Pool {
	byName := map[string]Pool{}
	addresses := map[string]string{}
	for _, p := range pools {
		row := "pools/" + p.Name
		c.name(row, p.Name)
		if _, dup := byName[p.Name]; dup {
			c.add(row, "name", "stands twice", "rename or remove one")
		}
		byName[p.Name] = p
		switch p.Kind {
		case Engine, Encoder, Service:
		default:
			c.add(row, "kind", fmt.Sprintf("%q is not a kind", p.Kind), "use engine, encoder or service")
		}
		if p.Slots < 1 {
			c.add(row, "slots", fmt.Sprintf("is %d", p.Slots), "give the requests that one server runs at once, 1 or more")
		}
		if p.Kind == Engine && p.Model.Name == "" {
			c.add(row, "model.name", "is empty", "name the model that the engines serve")
		}
		if len(p.Servers) == 0 {
			c.add(row, "servers", "is empty", "list at least one backend server")
		}
		c.servers(row, p.Servers, addresses)
	}
	return byName
}

func (c *checker) servers(row string, servers []Server, addresses map[string]string) {
	names := map[string]bool{}
	for i, s := range servers {
		field := fmt.Sprintf("servers[%d]", i)
		if s.Name == "" {
			c.add(row, field+".name", "is empty", "name the backend server")
		}
		if names[s.Name] {
			c.add(row, field+".name", fmt.Sprintf("%q stands twice", s.Name), "rename or remove one")
		}
		names[s.Name] = true
		if _, _, err := net.SplitHostPort(s.Address); err != nil {
			c.add(row, field+".address", fmt.Sprintf("%q is not host:port", s.Address), "write it as 10.0.0.1:8000")
		}
		if other, dup := addresses[s.Address]; dup && other != s.Name {
			c.add(row, field+".address", fmt.Sprintf("%s is also the address of %s", s.Address, other), "give each backend server its own address")
		}
		addresses[s.Address] = s.Name
		if s.Domain == "" {
			c.add(row, field+".domain", "is empty", "name the failure domain")
		}
		if s.Region == "" {
			c.add(row, field+".region", "is empty", "name the region")
		}
		if s.Weight < 0 {
			c.add(row, field+".weight", "is negative", "use 0 (meaning 1) or a positive number")
		}
	}
}

func (c *checker) routes(routes []Route, pools map[string]Pool) {
	names := map[string]bool{}
	matches := map[string]string{}
	for _, r := range routes {
		row := "routes/" + r.Name
		c.name(row, r.Name)
		if names[r.Name] {
			c.add(row, "name", "stands twice", "rename or remove one")
		}
		names[r.Name] = true
		c.match(row, r, matches)
		switch r.Class {
		case Interactive, Standard, Background:
		default:
			c.add(row, "class", fmt.Sprintf("%q is not a class", r.Class), "use interactive, standard or background")
		}
		if r.Deadline <= 0 {
			c.add(row, "deadline", "is not set", "give a duration such as 5s")
		}
		if r.Worth <= 0 {
			c.add(row, "worth", "is not positive", "give the worth of one completed request, such as 1")
		}
		c.stages(row, r, pools)
	}
}

func (c *checker) match(row string, r Route, matches map[string]string) {
	if !strings.HasPrefix(r.Match.Path, "/") {
		c.add(row, "match.path", fmt.Sprintf("%q does not start with /", r.Match.Path), "give a path prefix such as /v1/drafts")
	}
	key := fmt.Sprint(r.Match.Method, " ", r.Match.Path, " ", r.Match.Headers)
	if other, dup := matches[key]; dup {
		c.add(row, "match", "is the same as that of routes/"+other, "make one of them narrower or remove it")
	}
	matches[key] = r.Name
}

func (c *checker) stages(row string, r Route, pools map[string]Pool) {
	if len(r.Stages) == 0 || len(r.Stages) > MaxStages {
		c.add(row, "stages", fmt.Sprintf("has %d stages", len(r.Stages)), fmt.Sprintf("list 1 to %d", MaxStages))
	}
	var sum Duration
	names := map[string]bool{}
	for i, s := range r.Stages {
		field := fmt.Sprintf("stages[%d]", i)
		if s.Name == "" || names[s.Name] {
			c.add(row, field+".name", fmt.Sprintf("%q is empty or stands twice", s.Name), "give each stage its own name")
		}
		names[s.Name] = true
		if _, ok := pools[s.Pool]; !ok {
			c.add(row, field+".pool", fmt.Sprintf("there is no pool %q", s.Pool), "add the pool or correct the name")
		}
		if s.Budget <= 0 {
			c.add(row, field+".budget", "is not set", "give a duration such as 300ms")
		}
		if s.Stream && i != len(r.Stages)-1 {
			c.add(row, field+".stream", "is set on a stage that is not the last", "stream only the last stage")
		}
		if s.Stream && !s.Repeatable {
			c.add(row, field+".stream", "is set on a stage that is not repeatable", "a resumed stream may run again; make the stage repeatable or whole")
		}
		sum += s.Budget
	}
	if r.Deadline > 0 && sum > r.Deadline {
		c.add(row, "deadline", fmt.Sprintf("the stages' budgets add up to %s, over the deadline %s", sum.Std(), r.Deadline.Std()), "raise the deadline or lower budgets")
	}
}

func (c *checker) name(row, name string) {
	if name == "" || strings.ContainsAny(name, "/ \t\n") {
		c.add(row, "name", fmt.Sprintf("%q is not a name", name), "use letters, digits, - and .")
	}
}
