package table

import (
	"fmt"
	"strings"
	"unicode"
)

// serverIndex holds the backend servers of all pools. A server may be listed in several pools,
// but always with the same address, and a failure domain has the same region everywhere.
type serverIndex struct {
	addressByName  map[string]string // of servers
	nameByAddress  map[string]string // of servers
	regionByDomain map[string]string
}

// checkPools checks all pools and returns the set of their names.
func (v *validator) checkPools(pools []Pool) map[string]bool {
	seen := map[string]bool{}
	index := &serverIndex{addressByName: map[string]string{}, nameByAddress: map[string]string{}, regionByDomain: map[string]string{}}
	for i, p := range pools {
		v.startRow(PoolKeyPrefix, p.Name, i)
		v.checkName("name", p.Name, seen)
		v.checkPool(p)
		v.checkServers(p.Servers, index)
	}
	return seen
}

// checkPool checks the fields of a pool other than its name and the rows of its servers.
func (v *validator) checkPool(p Pool) {
	switch p.Kind {
	case Engine, Encoder, Service:
	default:
		v.addError("kind", fmt.Sprintf("%q is not a kind of pool", p.Kind), "use engine, encoder or service")
	}
	if p.Slots < 1 || p.Slots > MaxSlots {
		v.addError("slots", fmt.Sprintf("is %d", p.Slots), fmt.Sprintf("give the number of requests that one server executes concurrently, 1 to %d", MaxSlots))
	}
	if p.Kind == Engine && p.Model.Name == "" {
		v.addError("model.name", "is empty", "name the model that the engines serve")
	}
	if p.Kind == Service && p.Model != (Model{}) {
		v.addError("model", "is set on a pool of kind service", "remove it or use kind engine")
	}
	if p.Role != "" && !validName(p.Role) {
		v.addError("role", fmt.Sprintf("%q is not a valid name", p.Role), "name the role that the engines have to take, or leave it out")
	}
	for field, part := range map[string]string{"name": p.Model.Name, "adapter": p.Model.Adapter, "version": p.Model.Version} {
		if strings.ContainsFunc(part, isInvisible) {
			v.addError("model."+field, fmt.Sprintf("%q contains white space or a control character", part), "use only visible characters")
		}
	}
	if p.Kind != Engine && p.Fencing {
		v.addError("fencing", "is set on a pool whose servers execute no orders", "remove it or use kind engine")
	}
	if n := len(p.Servers); n == 0 || n > MaxServers {
		v.addError("servers", fmt.Sprintf("has %d backend servers", n), fmt.Sprintf("list 1 to %d", MaxServers))
	}
}

// isInvisible reports whether r is white space or a control character.
func isInvisible(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }

// checkServers checks the servers of one pool and adds them to index.
func (v *validator) checkServers(servers []Server, index *serverIndex) {
	seen := map[string]bool{}
	for i, s := range servers {
		field := fmt.Sprintf("servers[%d]", i)
		v.checkName(field+".name", s.Name, seen)
		v.checkServerAddress(field+".address", s, index)
		v.checkLocation(field, s, index)
		v.checkRange(field+".weight", s.Weight, MaxWeight)
	}
}

// checkServerAddress checks the address of s, and that each name has one address in all pools
// and vice versa: the health of servers is recorded by name and address, and two names for one
// server would split the record.
func (v *validator) checkServerAddress(field string, s Server, index *serverIndex) {
	if err := checkAddress(s.Address); err != nil {
		v.addError(field, err.Error(), "write it as 10.0.0.1:8000")
		return
	}
	if other, ok := index.nameByAddress[s.Address]; ok && other != s.Name {
		v.addError(field, fmt.Sprintf("%s is also the address of %s", s.Address, other), "give each backend server its own address")
	}
	if other, ok := index.addressByName[s.Name]; ok && other != s.Address {
		v.addError(field, fmt.Sprintf("%s has the address %s in another pool", s.Name, other), "use the same address or another name")
	}
	index.nameByAddress[s.Address], index.addressByName[s.Name] = s.Name, s.Address
}

// checkLocation checks the failure domain and region of s, and that each failure domain has one
// region in all pools.
func (v *validator) checkLocation(field string, s Server, index *serverIndex) {
	if !validName(s.Domain) {
		v.addError(field+".domain", fmt.Sprintf("%q is not a valid name", s.Domain), "name the failure domain")
	}
	if !validName(s.Region) {
		v.addError(field+".region", fmt.Sprintf("%q is not a valid name", s.Region), "name the region")
	}
	if other, ok := index.regionByDomain[s.Domain]; ok && other != s.Region {
		v.addError(field+".region", fmt.Sprintf("failure domain %s has the region %s for another server", s.Domain, other), "use one region for a failure domain")
		return
	}
	index.regionByDomain[s.Domain] = s.Region
}
