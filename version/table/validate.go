package table

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"strconv"
	"strings"
)

// checker collects the faults of one pair of tables.
type checker struct {
	faults ValidationErrors
	row    string // "routes/draft"
	at     string // "routes[2]"
}

// enter makes the row that later faults belong to the current one.
func (c *checker) enter(prefix, name string, i int) {
	table := strings.TrimSuffix(prefix, "/")
	c.at = fmt.Sprintf("%s[%d]", table, i)
	c.row = prefix + name
	if name == "" {
		c.row = c.at
	}
}

func (c *checker) add(field, problem, fix string) {
	c.faults = append(c.faults, ValidationError{Row: c.row, Field: field, Problem: problem, Fix: fix, at: c.at + "." + field})
}

func (c *checker) whole(table, problem, fix string) {
	c.faults = append(c.faults, ValidationError{Row: table, Field: "table", Problem: problem, Fix: fix, at: table})
}

// Validate checks both tables together and returns Faults, or nil.
func Validate(t Tables) error {
	if faults := check(t); len(faults) > 0 {
		return faults
	}
	return nil
}

func check(t Tables) ValidationErrors {
	c := &checker{}
	if n := len(t.Pools); n > MaxPools {
		c.whole("pools", fmt.Sprintf("has %d rows", n), fmt.Sprintf("keep it at %d or fewer", MaxPools))
		return c.faults
	}
	if n := len(t.Routes); n > MaxRoutes {
		c.whole("routes", fmt.Sprintf("has %d rows", n), fmt.Sprintf("keep it at %d or fewer", MaxRoutes))
		return c.faults
	}
	pools := c.pools(t.Pools)
	c.routes(t.Routes, pools)
	return c.faults
}

// name checks one name and that it is the first of its kind.
func (c *checker) name(field, name string, seen map[string]bool) {
	if !validName(name) {
		c.add(field, fmt.Sprintf("%q is not a name", name), fmt.Sprintf("use 1 to %d letters, digits, -, _ and .", MaxNameBytes))
		return
	}
	if seen[name] {
		c.add(field, fmt.Sprintf("%q is listed twice", name), "rename or remove one")
	}
	seen[name] = true
}

func validName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && !strings.ContainsRune("-_.", r) {
			return false
		}
	}
	return true
}

// amount checks a number that is not negative and at most high.
func (c *checker) amount(field string, v, high float64) {
	if math.IsNaN(v) || v < 0 || v > high {
		c.add(field, fmt.Sprintf("%g is not between 0 and %g", v, high), "give a number in that range")
	}
}

func checkAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not host:port", addr)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port %q is not between 1 and 65535", port)
	}
	if ip, err := netip.ParseAddr(host); err == nil && ip.IsUnspecified() {
		return fmt.Errorf("%s is no address that a call can be sent to", host)
	}
	if host == "" || strings.ContainsAny(host, "/?#@") || strings.ContainsFunc(host, notVisible) {
		return fmt.Errorf("%q is not a host", host)
	}
	return nil
}

func checkPath(path string) error {
	switch {
	case !strings.HasPrefix(path, "/"):
		return fmt.Errorf("%q does not start with /", path)
	case len(path) > MaxPathBytes:
		return fmt.Errorf("has %d bytes, over %d", len(path), MaxPathBytes)
	case strings.ContainsAny(path, " ?#\t\r\n\x00"):
		return fmt.Errorf("%q holds a blank, ? or #", path)
	}
	return nil
}
