package plancheck

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"

	"bilberrydale/version/plan"
)

// Change is one difference between two configurations.
type Change struct {
	Place    string // the entry and the field, such as "route drafts: Timeout"
	Old, New string // empty: the entry is missing
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("%s: added: %s", c.Place, c.New)
	case c.New == "":
		return fmt.Sprintf("%s: removed: %s", c.Place, c.Old)
	}
	return fmt.Sprintf("%s: %s, was %s", c.Place, c.New, c.Old)
}

// Diff returns the differences of a configuration from an older one, ordered by place. API keys are
// counted, not shown.
func Diff(older, newer plan.Config) []Change {
	var changes []Change
	changes = append(changes, diffEntries("route ", older.Routes, newer.Routes, func(r plan.Route) string { return r.Name })...)
	changes = append(changes, diffEntries("service ", older.Services, newer.Services, func(s plan.Service) string { return s.Name })...)
	changes = append(changes, diffEntries("account ", older.Accounts, newer.Accounts, func(a plan.Account) string { return a.Name })...)
	changes = append(changes, diffFields("limits", older.Limits, newer.Limits)...)
	changes = append(changes, diffKeyRequirement(older, newer)...)
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Place, b.Place) })
	return changes
}

// diffKeyRequirement compares whether requests need an API key.
func diffKeyRequirement(older, newer plan.Config) []Change {
	before, after := keyRequirement(older), keyRequirement(newer)
	if before == after {
		return nil
	}
	return []Change{{Place: "accounts", Old: before, New: after}}
}

// keyRequirement tells operators whether requests need an API key.
func keyRequirement(c plan.Config) string {
	if c.Accounts == nil {
		return "requests need no API key"
	}
	return "requests need an API key"
}

// diffEntries compares the entries of two lists by their names.
func diffEntries[T any](prefix string, older, newer []T, name func(T) string) (changes []Change) {
	before := map[string]T{}
	for _, e := range older {
		before[name(e)] = e
	}
	for _, e := range newer {
		place := prefix + name(e)
		old, known := before[name(e)]
		delete(before, name(e))
		if !known {
			changes = append(changes, Change{Place: place, New: "new entry"})
			continue
		}
		changes = append(changes, diffFields(place, old, e)...)
	}
	for n := range before {
		changes = append(changes, Change{Place: prefix + n, Old: "old entry"})
	}
	return changes
}

// diffFields compares the fields of two structs of one type.
func diffFields(place string, older, newer any) (changes []Change) {
	a, b := reflect.ValueOf(older), reflect.ValueOf(newer)
	for i := range a.NumField() {
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		field := a.Type().Field(i).Name
		changes = append(changes, Change{Place: place + ": " + field, Old: text(field, a.Field(i)), New: text(field, b.Field(i))})
	}
	return changes
}

// keysField is the field of an account that must not be shown.
const keysField = "Keys"

// text returns the value of a field for operators.
func text(field string, v reflect.Value) string {
	if field == keysField {
		return fmt.Sprintf("%d API keys", v.Len())
	}
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	return fmt.Sprintf("%+v", v.Interface())
}
