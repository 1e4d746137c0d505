package table

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"strconv"
	"strings"
)

// validator collects the errors of both tables.
type validator struct {
	errs    ValidationErrors
	row     string // key of the current row: "routes/draft"
	rowPath string // its path: "routes[2]"
}

// startRow sets the current row, to which addError attributes errors.
func (v *validator) startRow(prefix, name string, i int) {
	table := strings.TrimSuffix(prefix, "/")
	v.rowPath = fmt.Sprintf("%s[%d]", table, i)
	v.row = prefix + name
	if name == "" {
		v.row = v.rowPath
	}
}

// addError records an error in a field of the current row.
func (v *validator) addError(field, problem, fix string) {
	v.errs = append(v.errs, ValidationError{Row: v.row, Field: field, Problem: problem, Fix: fix, path: v.rowPath + "." + field})
}

// addTableError records an error that concerns a table as a whole.
func (v *validator) addTableError(table, problem, fix string) {
	v.errs = append(v.errs, ValidationError{Row: table, Field: "table", Problem: problem, Fix: fix, path: table})
}

// Validate checks both tables together. The error is ValidationErrors or nil.
func Validate(t Tables) error {
	if errs := validate(t); len(errs) > 0 {
		return errs
	}
	return nil
}

// validate returns the errors of both tables. If a table has too many rows, it checks nothing
// else.
func validate(t Tables) ValidationErrors {
	v := &validator{}
	if n := len(t.Pools); n > MaxPools {
		v.addTableError("pools", fmt.Sprintf("has %d rows", n), fmt.Sprintf("use at most %d", MaxPools))
		return v.errs
	}
	if n := len(t.Routes); n > MaxRoutes {
		v.addTableError("routes", fmt.Sprintf("has %d rows", n), fmt.Sprintf("use at most %d", MaxRoutes))
		return v.errs
	}
	pools := v.checkPools(t.Pools)
	v.checkRoutes(t.Routes, pools)
	return v.errs
}

// checkName checks that name is valid and not in seen, and adds it there.
func (v *validator) checkName(field, name string, seen map[string]bool) {
	if !validName(name) {
		v.addError(field, fmt.Sprintf("%q is not a valid name", name), fmt.Sprintf("use 1 to %d letters, digits, -, _ and .", MaxNameBytes))
		return
	}
	if seen[name] {
		v.addError(field, fmt.Sprintf("%q is listed twice", name), "rename or remove one")
	}
	seen[name] = true
}

// validName reports whether s has 1 to MaxNameBytes ASCII letters, digits and characters of
// "-_.".
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

// checkRange checks that value is between 0 and limit.
func (v *validator) checkRange(field string, value, limit float64) {
	if math.IsNaN(value) || value < 0 || value > limit {
		v.addError(field, fmt.Sprintf("%g is not between 0 and %g", value, limit), "give a number in that range")
	}
}

// checkAddress checks that addr is host:port and can be the destination of a request.
func checkAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not host:port", addr)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port %q is not between 1 and 65535", port)
	}
	if ip, err := netip.ParseAddr(host); err == nil && ip.IsUnspecified() {
		return fmt.Errorf("%s is not an address that requests can be sent to", host)
	}
	if host == "" || strings.ContainsAny(host, "/?#@") || strings.ContainsFunc(host, isInvisible) {
		return fmt.Errorf("%q is not a host name or IP address", host)
	}
	return nil
}

// checkPath checks the path prefix of a match or the path of a stage.
func checkPath(path string) error {
	switch {
	case !strings.HasPrefix(path, "/"):
		return fmt.Errorf("%q does not start with /", path)
	case len(path) > MaxPathBytes:
		return fmt.Errorf("has %d bytes; the maximum is %d", len(path), MaxPathBytes)
	case strings.ContainsAny(path, " ?#\t\r\n\x00"):
		return fmt.Errorf("%q contains white space, ?, # or a null character", path)
	}
	return nil
}
