package edgedaemon

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"bilberrydale/platform"
	"bilberrydale/version/plan"
	"bilberrydale/version/plancheck"
)

// configCheck is the command that checks a configuration before it is put in force.
type configCheck struct {
	command *flaggy.Subcommand
	path    string // of the configuration
	inForce string // path of the configuration in force; empty: it is not compared
}

// register adds the command to a parser.
func (c *configCheck) register(parser *flaggy.Parser) {
	c.command = flaggy.NewSubcommand("check-config")
	c.command.Description = "Checks a configuration in a file and shows what differs from the one in force, then exits. It fails if there are errors."
	c.command.AddPositionalValue(&c.path, "file", 1, true, "the configuration, as it is sent to the platform")
	c.command.String(&c.inForce, "", "in-force", "file with the configuration in force, as read from the platform")
	parser.AttachSubcommand(c.command, 1)
}

// errConfigFaulty is returned if the configuration has errors.
var errConfigFaulty = errors.New("the configuration has errors")

// run writes findings, then differences, one a line.
func (c *configCheck) run(out io.Writer) error {
	config, err := readConfig(c.path)
	if err != nil {
		return err
	}
	failed := false
	for _, f := range plancheck.Check(config) {
		failed = failed || f.Severity == plancheck.Error
		fmt.Fprintln(out, f)
	}
	if c.inForce != "" {
		older, err := readConfig(c.inForce)
		if err != nil {
			return err
		}
		if config.Version <= older.Version {
			failed = true
			fmt.Fprintf(out, "error: configuration: version %d is not newer than %d, which is in force\n", config.Version, older.Version)
		}
		for _, change := range plancheck.Diff(older, config) {
			fmt.Fprintln(out, change)
		}
	}
	if failed {
		return errConfigFaulty
	}
	return nil
}

// readConfig reads a configuration from a file.
func readConfig(path string) (plan.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return plan.Config{}, fmt.Errorf("configuration: %w", err)
	}
	config, err := platform.ParseConfig(data)
	if err != nil {
		return plan.Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}
