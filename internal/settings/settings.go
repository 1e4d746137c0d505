// Package settings reads a program's settings from flags and environment
// variables, flags first, and checks them all, so that every fault is reported
// at once. Each flag --some-name has the variable PREFIX_SOME_NAME. Values are
// set when Parse returns.
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

// Parser is the part of flaggy's parser and subcommand used here. Numbers are
// registered as texts, because flaggy stops at the first that does not parse.
type Parser interface {
	String(v *string, short, long, description string)
	Bool(v *bool, short, long, description string)
}

// Set collects settings and the faults found in them.
type Set struct {
	parser Parser
	prefix string
	known  map[string]bool
	checks []check
	faults []error
}

type check struct {
	name string
	run  func() error
}

// New returns a set that registers flags with p and reads variables that start
// with prefix and an underscore.
func New(p Parser, prefix string) *Set {
	return &Set{parser: p, prefix: prefix, known: map[string]bool{}}
}

var _ Parser = (*flaggy.Parser)(nil)

// Parse parses args with p and checks sets. The error holds every fault:
// values out of range, missing ones, flags and arguments that do not exist.
func Parse(p *flaggy.Parser, args []string, sets ...*Set) error {
	// flaggy's own check would end the process at the first unknown flag.
	p.ShowHelpOnUnexpected = false
	faults := []error{p.ParseArgs(args)}
	unknown := unknownFlags(args, sets)
	faults = append(faults, unknown...)
	if len(unknown) == 0 { // else a trailing argument may be the unknown flag's value
		for _, arg := range p.TrailingArguments {
			faults = append(faults, fmt.Errorf("%q: unexpected argument; see --help", arg))
		}
	}
	for _, s := range sets {
		faults = append(faults, s.Validate())
	}
	return errors.Join(faults...)
}

func unknownFlags(args []string, sets []*Set) []error {
	var faults []error
	for _, arg := range args {
		if arg == "--" {
			break
		}
		name, _, _ := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		if !strings.HasPrefix(arg, "-") || name == "" || isNumber(arg) || knownFlag(name, sets) {
			continue
		}
		faults = append(faults, fmt.Errorf("--%s: there is no such setting; see --help", name))
	}
	return faults
}

func isNumber(arg string) bool {
	_, err := strconv.ParseFloat(arg, 64)
	return err == nil
}

func knownFlag(name string, sets []*Set) bool {
	for _, s := range sets {
		if s.known[name] {
			return true
		}
	}
	return false
}

func (s *Set) env(name string) (string, string, bool) {
	s.known[name] = true
	key := s.prefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	v, ok := os.LookupEnv(key)
	return key, v, ok
}

func (s *Set) add(name string, run func() error) {
	s.checks = append(s.checks, check{name, run})
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

// Secret registers a text that is never shown, in help or in a fault. A value
// "@path" is read from that file: flags and variables can be read by other
// users of the machine.
func (s *Set) Secret(v *string, name, help string) {
	key, text, found := s.env(name)
	var flag string
	s.parser.String(&flag, "", name, help+"; @path reads it from a file ["+key+"]")
	s.add(name, func() error {
		if flag != "" {
			*v = flag
		} else if found {
			*v = text
		}
		path, isFile := strings.CutPrefix(*v, "@")
		if !isFile {
			return nil
		}
		data, err := os.ReadFile(path)
		*v = strings.TrimSpace(string(data))
		if err == nil && *v == "" {
			err = fmt.Errorf("%s is empty", path)
		}
		return err
	})
}

// Int registers a whole number between low and high.
func (s *Set) Int(v *int, name, help string, low, high int) {
	text := strconv.Itoa(*v)
	s.text(&text, name, fmt.Sprintf("%s, %d to %d", help, low, high), func() error {
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		*v = n
		return between(n >= low && n <= high, n, low, high)
	})
}

// Duration registers a duration between low and high.
func (s *Set) Duration(v *time.Duration, name, help string, low, high time.Duration) {
	text := v.String()
	s.text(&text, name, fmt.Sprintf("%s, %s to %s", help, low, high), func() error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 300ms", text)
		}
		*v = d
		return between(d >= low && d <= high, d, low, high)
	})
}

// Float registers a number between low and high.
func (s *Set) Float(v *float64, name, help string, low, high float64) {
	text := strconv.FormatFloat(*v, 'g', -1, 64)
	s.text(&text, name, fmt.Sprintf("%s, %g to %g", help, low, high), func() error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", text)
		}
		*v = n
		return between(n >= low && n <= high, n, low, high)
	})
}

func between[T any](ok bool, v, low, high T) error {
	if ok {
		return nil
	}
	return fmt.Errorf("%v is not between %v and %v", v, low, high)
}

// text registers a value that check parses; *text holds its default.
func (s *Set) text(text *string, name, help string, check func() error) {
	key, value, found := s.env(name)
	if found {
		*text = value
	}
	s.parser.String(text, "", name, help+" ["+key+"]")
	s.add(name, check)
}

// Bool registers a switch.
func (s *Set) Bool(v *bool, name, help string) {
	key, text, found := s.env(name)
	if found {
		b, err := strconv.ParseBool(text)
		if err != nil {
			s.faults = append(s.faults, fmt.Errorf("%s=%q: write true or false", key, text))
		}
		*v = b
	}
	s.parser.Bool(v, "", name, help+" ["+key+"]")
}

// Check runs every check after parsing and returns all faults together. Parse
// calls it.
func (s *Set) Validate() error {
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

// OneOf returns a check that a text is one of choices.
func OneOf(choices ...string) func(string) error {
	return func(v string) error {
		for _, c := range choices {
			if v == c {
				return nil
			}
		}
		return fmt.Errorf("%q is none of %s", v, strings.Join(choices, ", "))
	}
}
