package table

import (
	"fmt"
	"strings"
	"unicode"
)

// fleet is what the pools say together about backend servers: the same server
// may stand in several pools, but only with one address and one place.
type fleet struct {
	names   map[string]string // address by server name
	servers map[string]string // server name by address
	regions map[string]string // region by failure domain
}

func (c *checker) pools(pools []Pool) map[string]bool {
	seen := map[string]bool{}
	f := &fleet{names: map[string]string{}, servers: map[string]string{}, regions: map[string]string{}}
	for i, p := range pools {
		c.enter(PoolKeyPrefix, p.Name, i)
		c.name("name", p.Name, seen)
		c.pool(p)
		c.servers(p.Servers, f)
	}
	return seen
}

func (c *checker) pool(p Pool) {
	switch p.Kind {
	case Engine, Encoder, Service:
	default:
		c.add("kind", fmt.Sprintf("%q is not a kind", p.Kind), "use engine, encoder or service")
	}
	if p.Slots < 1 || p.Slots > MaxSlots {
		c.add("slots", fmt.Sprintf("is %d", p.Slots), fmt.Sprintf("give the requests that one server runs at once, 1 to %d", MaxSlots))
	}
	if p.Kind == Engine && p.Model.Name == "" {
		c.add("model.name", "is empty", "name the model that the engines serve")
	}
	if p.Kind == Service && p.Model != (Model{}) {
		c.add("model", "is set on a plain service", "remove it or use kind engine")
	}
	if p.Role != "" && !validName(p.Role) {
		c.add("role", fmt.Sprintf("%q is not a name", p.Role), "name the role that the engines are to have, or leave it out")
	}
	for field, part := range map[string]string{"name": p.Model.Name, "adapter": p.Model.Adapter, "version": p.Model.Version} {
		if strings.ContainsFunc(part, notVisible) {
			c.add("model."+field, fmt.Sprintf("%q holds a blank or a control character", part), "use visible characters alone")
		}
	}
	if p.Kind != Engine && p.Fencing {
		c.add("fencing", "is set on a pool that takes no orders", "remove it or use kind engine")
	}
	if n := len(p.Servers); n == 0 || n > MaxServers {
		c.add("servers", fmt.Sprintf("has %d backend servers", n), fmt.Sprintf("list 1 to %d", MaxServers))
	}
}

func notVisible(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }

func (c *checker) servers(servers []Server, f *fleet) {
	seen := map[string]bool{}
	for i, s := range servers {
		field := fmt.Sprintf("servers[%d]", i)
		c.name(field+".name", s.Name, seen)
		c.address(field+".address", s, f)
		c.location(field, s, f)
		c.amount(field+".weight", s.Weight, MaxWeight)
	}
}

// address checks that name and address belong together everywhere: evidence of
// health is kept by both, and two names for one server would split it.
func (c *checker) address(field string, s Server, f *fleet) {
	if err := checkAddress(s.Address); err != nil {
		c.add(field, err.Error(), "write it as 10.0.0.1:8000")
		return
	}
	if other, ok := f.servers[s.Address]; ok && other != s.Name {
		c.add(field, fmt.Sprintf("%s is also the address of %s", s.Address, other), "give each backend server its own address")
	}
	if other, ok := f.names[s.Name]; ok && other != s.Address {
		c.add(field, fmt.Sprintf("%s has the address %s in another pool", s.Name, other), "use one address or another name")
	}
	f.servers[s.Address], f.names[s.Name] = s.Name, s.Address
}

func (c *checker) location(field string, s Server, f *fleet) {
	if !validName(s.Domain) {
		c.add(field+".domain", fmt.Sprintf("%q is not a name", s.Domain), "name the failure domain")
	}
	if !validName(s.Region) {
		c.add(field+".region", fmt.Sprintf("%q is not a name", s.Region), "name the region")
	}
	if other, ok := f.regions[s.Domain]; ok && other != s.Region {
		c.add(field+".region", fmt.Sprintf("failure domain %s lies in region %s elsewhere", s.Domain, other), "use one region for a failure domain")
		return
	}
	f.regions[s.Domain] = s.Region
}
