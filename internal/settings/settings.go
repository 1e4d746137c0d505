// Package settings reads a program's settings from flags and environment
// variables, flags first, and checks them all, so that every fault is reported
// at once. Each flag --some-name has the variable PREFIX_SOME_NAME.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// Parser is the part of flaggy's parser and subcommand used here.
type Parser interface {
	String(v *string, short, long, description string)
	Int(v *int, short, long, description string)
	Bool(v *bool, short, long, description string)
	Duration(v *time.Duration, short, long, description string)
	Float64(v *float64, short, long, description string)
}

// Set collects settings and the faults found in them.
type Set struct {
	parser Parser
	prefix string
	checks []check
	faults []error
}

type check struct {
	name string
	run  func() error
}

// New returns a set that registers flags with p and reads variables that start
// with prefix and an underscore.
func New(p Parser, prefix string) *Set { return &Set{parser: p, prefix: prefix} }

var _ Parser = (*flaggy.Parser)(nil)

func (s *Set) env(name string) (string, string, bool) {
	key := s.prefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	v, ok := os.LookupEnv(key)
	return key, v, ok
}

func (s *Set) fault(key, value, mend string) {
	s.faults = append(s.faults, fmt.Errorf("%s=%q: %s", key, value, mend))
}

func (s *Set) add(name string, run func() error) {
	if run != nil {
		s.checks = append(s.checks, check{name, run})
	}
}

// String registers a text setting; *v holds its default.
func (s *Set) String(v *string, name, help string, ok func(string) error) {
	key, text, found := s.env(name)
	if found {
		*v = text
	}
	s.parser.String(v, "", name, help+" ["+key+"]")
	if ok != nil {
		s.add(name, func() error { return ok(*v) })
	}
}

// Secret registers a text setting whose default is never shown in help.
func (s *Set) Secret(v *string, name, help string) {
	key, text, found := s.env(name)
	var flag string
	s.parser.String(&flag, "", name, help+" ["+key+"]")
	s.add(name, func() error {
		if flag != "" {
			*v = flag
		} else if found {
			*v = text
		}
		return nil
	})
}

// Int registers a whole number between low and high.
func (s *Set) Int(v *int, name, help string, low, high int) {
	key, text, found := s.env(name)
	if found {
		n, err := strconv.Atoi(text)
		if err != nil {
			s.fault(key, text, "write a whole number")
		}
		*v = n
	}
	s.parser.Int(v, "", name, fmt.Sprintf("%s, %d to %d [%s]", help, low, high, key))
	s.add(name, func() error {
		if *v < low || *v > high {
			return fmt.Errorf("%d is not between %d and %d", *v, low, high)
		}
		return nil
	})
}

// Duration registers a duration between low and high.
func (s *Set) Duration(v *time.Duration, name, help string, low, high time.Duration) {
	key, text, found := s.env(name)
	if found {
		d, err := time.ParseDuration(text)
		if err != nil {
			s.fault(key, text, "write a duration such as 300ms")
		}
		*v = d
	}
	s.parser.Duration(v, "", name, fmt.Sprintf("%s, %s to %s [%s]", help, low, high, key))
	s.add(name, func() error {
		if *v < low || *v > high {
			return fmt.Errorf("%s is not between %s and %s", *v, low, high)
		}
		return nil
	})
}

// Float registers a number between low and high.
func (s *Set) Float(v *float64, name, help string, low, high float64) {
	key, text, found := s.env(name)
	if found {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			s.fault(key, text, "write a number")
		}
		*v = n
	}
	s.parser.Float64(v, "", name, fmt.Sprintf("%s, %g to %g [%s]", help, low, high, key))
	s.add(name, func() error {
		if *v < low || *v > high {
			return fmt.Errorf("%g is not between %g and %g", *v, low, high)
		}
		return nil
	})
}

// Bool registers a switch.
func (s *Set) Bool(v *bool, name, help string) {
	key, text, found := s.env(name)
	if found {
		b, err := strconv.ParseBool(text)
		if err != nil {
			s.fault(key, text, "write true or false")
		}
		*v = b
	}
	s.parser.Bool(v, "", name, help+" ["+key+"]")
}

// Check runs every check after parsing and returns all faults together.
func (s *Set) Check() error {
	faults := s.faults
	for _, c := range s.checks {
		if err := c.run(); err != nil {
			faults = append(faults, fmt.Errorf("--%s: %w", c.name, err))
		}
	}
	return errors.Join(faults...)
}

// Required is a check that a text is not empty.
func Required(v string) error {
	if v == "" {
		return errors.New("is required")
	}
	return nil
}
