// Package settings reads a program's settings from command-line flags and
// environment variables. Flags take precedence. All settings are validated, so
// that one run reports all errors. The variable of a flag --some-name is
// PREFIX_SOME_NAME. The values are set when Parse returns.
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

// Parser contains the methods of flaggy's parser and subcommand that are used
// here. Numbers are registered as strings, because flaggy stops at the first one
// that does not parse.
type Parser interface {
	String(v *string, short, long, description string)
	Bool(v *bool, short, long, description string)
}

// Set is a set of settings of one parser or subcommand, with their checks. It is
// not safe for concurrent use.
type Set struct {
	parser    Parser
	prefix    string          // of the names of environment variables
	flagNames map[string]bool // names of the registered flags
	checks    []check         // run by Validate, in the order of registration
	errs      []error         // of environment variables, found at registration
}

// check validates the value of one flag.
type check struct {
	flag     string
	validate func() error
}

// New returns an empty set that registers flags with p and reads variables whose
// names start with prefix and an underscore.
func New(p Parser, prefix string) *Set {
	return &Set{parser: p, prefix: prefix, flagNames: map[string]bool{}}
}

var _ Parser = (*flaggy.Parser)(nil)

// Parse parses args with p and validates sets. The error joins all errors: values
// that are missing or out of range, unknown flags and unexpected arguments.
func Parse(p *flaggy.Parser, args []string, sets ...*Set) error {
	// flaggy would otherwise exit the process at the first unknown flag.
	p.ShowHelpOnUnexpected = false
	errs := []error{p.ParseArgs(args)}
	unknown := unknownFlags(args, sets)
	errs = append(errs, unknown...)
	if len(unknown) == 0 { // otherwise a trailing argument may be the value of an unknown flag
		for _, arg := range p.TrailingArguments {
			errs = append(errs, fmt.Errorf("%q: unexpected argument; see --help", arg))
		}
	}
	for _, s := range sets {
		errs = append(errs, s.Validate())
	}
	return errors.Join(errs...)
}

// unknownFlags returns an error for each flag in args that no set contains.
func unknownFlags(args []string, sets []*Set) []error {
	var errs []error
	for _, arg := range args {
		if arg == "--" {
			break
		}
		name, _, _ := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		if !strings.HasPrefix(arg, "-") || name == "" || isNumber(arg) || isKnownFlag(name, sets) {
			continue
		}
		errs = append(errs, fmt.Errorf("--%s: there is no such setting; see --help", name))
	}
	return errs
}

// isNumber reports whether arg is a number, such as a negative value of a flag.
func isNumber(arg string) bool {
	_, err := strconv.ParseFloat(arg, 64)
	return err == nil
}

func isKnownFlag(name string, sets []*Set) bool {
	for _, s := range sets {
		if s.flagNames[name] {
			return true
		}
	}
	return false
}

// lookupEnv adds name to the known flags and returns its environment variable,
// the value of the variable and whether it is set.
func (s *Set) lookupEnv(name string) (string, string, bool) {
	s.flagNames[name] = true
	key := s.prefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	v, ok := os.LookupEnv(key)
	return key, v, ok
}

// addCheck adds a check that Validate runs.
func (s *Set) addCheck(flag string, validate func() error) {
	s.checks = append(s.checks, check{flag, validate})
}

// String registers a string setting. *v is the default; check, if not nil,
// validates the value.
func (s *Set) String(v *string, name, help string, check func(string) error) {
	key, text, found := s.lookupEnv(name)
	if found {
		*v = text
	}
	s.parser.String(v, "", name, help+" ["+key+"]")
	if check != nil {
		s.addCheck(name, func() error { return check(*v) })
	}
}

// Secret registers a string that is not shown in help or errors. The value
// "@path" is read from that file, because flags and environment variables can be
// read by other users of the machine.
func (s *Set) Secret(v *string, name, help string) {
	key, text, found := s.lookupEnv(name)
	var flag string
	s.parser.String(&flag, "", name, help+"; @path reads it from a file ["+key+"]")
	s.addCheck(name, func() error {
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

// Int registers an integer from low to high. *v is the default.
func (s *Set) Int(v *int, name, help string, low, high int) {
	text := strconv.Itoa(*v)
	s.registerParsed(&text, name, fmt.Sprintf("%s, %d to %d", help, low, high), func() error {
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		*v = n
		return checkRange(n >= low && n <= high, n, low, high)
	})
}

// Duration registers a duration from low to high. *v is the default.
func (s *Set) Duration(v *time.Duration, name, help string, low, high time.Duration) {
	text := v.String()
	s.registerParsed(&text, name, fmt.Sprintf("%s, %s to %s", help, low, high), func() error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 300ms", text)
		}
		*v = d
		return checkRange(d >= low && d <= high, d, low, high)
	})
}

// Float registers a number from low to high. *v is the default.
func (s *Set) Float(v *float64, name, help string, low, high float64) {
	text := strconv.FormatFloat(*v, 'g', -1, 64)
	s.registerParsed(&text, name, fmt.Sprintf("%s, %g to %g", help, low, high), func() error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", text)
		}
		*v = n
		return checkRange(n >= low && n <= high, n, low, high)
	})
}

// checkRange returns an error that names v and the range from low to high, unless
// ok.
func checkRange[T any](ok bool, v, low, high T) error {
	if ok {
		return nil
	}
	return fmt.Errorf("%v is not between %v and %v", v, low, high)
}

// registerParsed registers a value as a string, which check parses and validates.
// *text is the default.
func (s *Set) registerParsed(text *string, name, help string, check func() error) {
	key, value, found := s.lookupEnv(name)
	if found {
		*text = value
	}
	s.parser.String(text, "", name, help+" ["+key+"]")
	s.addCheck(name, check)
}

// Bool registers a boolean flag. *v is the default.
func (s *Set) Bool(v *bool, name, help string) {
	key, text, found := s.lookupEnv(name)
	if found {
		b, err := strconv.ParseBool(text)
		if err != nil {
			s.errs = append(s.errs, fmt.Errorf("%s=%q: expected true or false", key, text))
		}
		*v = b
	}
	s.parser.Bool(v, "", name, help+" ["+key+"]")
}

// Validate runs all checks and returns their errors. It is called after parsing:
// by Parse, or by programs that do not use Parse.
func (s *Set) Validate() error {
	errs := s.errs
	for _, c := range s.checks {
		if err := c.validate(); err != nil {
			errs = append(errs, fmt.Errorf("--%s: %w", c.flag, err))
		}
	}
	return errors.Join(errs...)
}

// Required is a check for String. It returns an error if v is empty.
func Required(v string) error {
	if v == "" {
		return errors.New("is required")
	}
	return nil
}

// OneOf returns a check for String. It returns an error unless the value is one of
// choices.
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
