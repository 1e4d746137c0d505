// Package ctl implements cmd/bilberryctl, the operators' command-line tool. Its
// commands edit the tables and manage releases through the platform, and
// inspect and control running entry hosts through their admin ports.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"bilberrydale/internal/settings"
	"bilberrydale/platform"
	"bilberrydale/process/objectapi"
)

// Env holds the output, the global options and the clients that commands use.
type Env struct {
	Out    io.Writer
	JSON   bool            // print JSON instead of tables
	Author string          // recorded as the author of accepted releases
	Note   string          // recorded with accepted releases
	Store  objectapi.Store // object API of the platform
	Admin  *AdminClient
}

// command is one command of the tool. Its name is one word, or a group and a
// word, such as "quarantine list".
type command struct {
	name          string
	help          string
	arg           string // name of the positional argument; empty if there is none
	registerFlags func(*settings.Set)
	run           func(ctx context.Context, env *Env, arg string) error
}

// commands returns new commands for each parse, because they hold the values of
// their flags.
func commands() []*command {
	var all []*command
	for _, group := range [][]*command{tableCommands(), releaseCommands(), hostCommands(), quarantineCommands(), explainCommands()} {
		all = append(all, group...)
	}
	return all
}

// options holds the global flags.
type options struct {
	platform, platformToken    string
	hosts, adminToken, adminCA string // hosts: admin addresses separated by commas
	author, note               string
	json                       bool
	timeout                    time.Duration
}

func (o *options) register(set *settings.Set) {
	set.String(&o.platform, "platform", "base URL of the platform's object API", settings.Required)
	set.Secret(&o.platformToken, "platform-token", "bearer token for the platform")
	set.String(&o.hosts, "hosts", "admin addresses of entry hosts, host:port separated by commas", nil)
	set.Secret(&o.adminToken, "admin-token", "bearer token for the admin ports")
	set.String(&o.adminCA, "admin-ca", "PEM file of the authority that signs the admin ports' certificates; if set, TLS is used", nil)
	set.String(&o.author, "author", "name recorded as the author of a release", settings.Required)
	set.String(&o.note, "note", "note recorded with the release, such as the reason for it", nil)
	set.Bool(&o.json, "json", "print JSON instead of tables")
	set.Duration(&o.timeout, "timeout", "longest time for one command", time.Second, 10*time.Minute)
}

// newEnv returns the Env of a command. The error is that of reading the CA file.
func (o *options) newEnv(out io.Writer) (*Env, error) {
	admin, err := NewAdminClient(AdminClientOptions{Addresses: splitList(o.hosts), Token: o.adminToken, CAFile: o.adminCA})
	if err != nil {
		return nil, err
	}
	return &Env{
		Out: out, JSON: o.json, Author: o.author, Note: o.note, Admin: admin,
		Store: objectapi.NewClient(platform.NewObjectStore(platform.NewStoreClientForURL(o.platform, o.platformToken)), objectapi.ClientOptions{}),
	}, nil
}

// splitList splits a comma-separated list and drops empty items.
func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// Run parses args and runs the command that they name, within its timeout. The
// output goes to out.
func Run(ctx context.Context, args []string, out io.Writer) error {
	author := os.Getenv("USER")
	if author == "" {
		author = "unknown"
	}
	o := &options{platform: "http://127.0.0.1:8090", hosts: "127.0.0.1:8081", author: author, timeout: time.Minute}
	cmd, arg, err := parse(o, args)
	if err != nil {
		return err
	}
	env, err := o.newEnv(out)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return cmd.run(ctx, env, arg)
}

// boundCommand is a command with its subcommand in the parser and the value of
// its positional argument.
type boundCommand struct {
	*command
	subcommand *flaggy.Subcommand
	argument   string
}

// parse returns the command that args name and its positional argument.
func parse(o *options, args []string) (*command, string, error) {
	p := flaggy.NewParser("bilberryctl")
	p.Version = settings.Version()
	p.Description = "Edits the tables and manages entry hosts."
	set := settings.New(p, "BILBERRYCTL")
	o.register(set)
	list, sets := attachCommands(p)
	if err := settings.Parse(p, args, append(sets, set)...); err != nil {
		return nil, "", err
	}
	for _, b := range list {
		if !b.subcommand.Used {
			continue
		}
		if b.command.arg != "" && b.argument == "" {
			return nil, "", fmt.Errorf("%s: name the %s", b.name, b.command.arg)
		}
		return b.command, b.argument, nil
	}
	return nil, "", errors.New("name a command: " + strings.Join(commandNames(), ", ") + "; see --help")
}

// attachCommands adds all commands to the parser. It returns them with the
// settings of their flags.
func attachCommands(p *flaggy.Parser) ([]*boundCommand, []*settings.Set) {
	var list []*boundCommand
	var sets []*settings.Set
	groups := map[string]*flaggy.Subcommand{}
	for _, c := range commands() {
		b := &boundCommand{command: c}
		group, word, nested := strings.Cut(c.name, " ")
		if !nested {
			word = group
		}
		b.subcommand = flaggy.NewSubcommand(word)
		b.subcommand.Description = c.help
		if c.arg != "" {
			b.subcommand.AddPositionalValue(&b.argument, c.arg, 1, false, c.arg)
		}
		if c.registerFlags != nil {
			set := settings.New(b.subcommand, "BILBERRYCTL")
			c.registerFlags(set)
			sets = append(sets, set)
		}
		if !nested {
			p.AttachSubcommand(b.subcommand, 1)
		} else {
			if groups[group] == nil {
				groups[group] = flaggy.NewSubcommand(group)
				groups[group].Description = "commands on " + group
				p.AttachSubcommand(groups[group], 1)
			}
			groups[group].AttachSubcommand(b.subcommand, 1)
		}
		list = append(list, b)
	}
	return list, sets
}

// commandNames returns the names of all commands, for error messages.
func commandNames() []string {
	var names []string
	for _, c := range commands() {
		names = append(names, c.name)
	}
	return names
}
