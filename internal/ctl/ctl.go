// Package ctl is the operators' command behind cmd/bilberryctl: a registry of
// small commands on releases (through the platform) and on running entry hosts
// (through their admin ports).
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

// Env is what commands work on. Tests fill it with in-process parts.
type Env struct {
	Out    io.Writer
	JSON   bool // print JSON in place of tables
	Author string
	Note   string
	Store  objectapi.Store
	Admin  *AdminClient
}

// command is one operators' command. Its name is one word, or a group and a
// word, such as "quarantine list".
type command struct {
	name  string
	help  string
	arg   string // name of its one positional argument; empty: none
	flags func(*settings.Set)
	run   func(ctx context.Context, env *Env, arg string) error
}

// commands makes the registry anew for each parse, because flags hold state.
func commands() []*command {
	var all []*command
	for _, group := range [][]*command{tableCommands(), releaseCommands(), hostCommands(), quarantineCommands(), explainCommands()} {
		all = append(all, group...)
	}
	return all
}

type options struct {
	platform, platformToken string
	hosts, adminToken, ca   string
	author, note            string
	json                    bool
	timeout                 time.Duration
}

func (o *options) register(set *settings.Set) {
	set.String(&o.platform, "platform", "base URL of the platform's object API", settings.Required)
	set.Secret(&o.platformToken, "platform-token", "bearer token for the platform")
	set.String(&o.hosts, "hosts", "admin addresses of entry hosts, host:port separated by commas", nil)
	set.Secret(&o.adminToken, "admin-token", "bearer token for the admin ports")
	set.String(&o.ca, "admin-ca", "PEM file of the authority that signs the admin ports' certificates; set: TLS", nil)
	set.String(&o.author, "author", "name that a release is accepted under", settings.Required)
	set.String(&o.note, "note", "why the release is made", nil)
	set.Bool(&o.json, "json", "print JSON")
	set.Duration(&o.timeout, "timeout", "longest time for one command", time.Second, 10*time.Minute)
}

func (o *options) env(out io.Writer) (*Env, error) {
	hosts, err := NewAdminClient(AdminClientOptions{Addresses: splitList(o.hosts), Token: o.adminToken, CAFile: o.ca})
	if err != nil {
		return nil, err
	}
	return &Env{
		Out: out, JSON: o.json, Author: o.author, Note: o.note, Admin: hosts,
		Store: objectapi.NewClient(platform.NewObjectStore(platform.NewStoreClientForURL(o.platform, o.platformToken)), objectapi.ClientOptions{}),
	}, nil
}

func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// Run parses args and runs one command.
func Run(ctx context.Context, args []string, out io.Writer) error {
	author := os.Getenv("USER")
	if author == "" {
		author = "unknown"
	}
	o := &options{platform: "http://127.0.0.1:8090", hosts: "127.0.0.1:8081", author: author, timeout: time.Minute}
	chosen, arg, err := parse(o, args)
	if err != nil {
		return err
	}
	env, err := o.env(out)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return chosen.run(ctx, env, arg)
}

// attached is a command with its place in the parser.
type attached struct {
	*command
	sub *flaggy.Subcommand
	arg string
}

func parse(o *options, args []string) (*command, string, error) {
	p := flaggy.NewParser("bilberryctl")
	p.Version = settings.Version()
	p.Description = "Edits the tables and looks after entry hosts."
	set := settings.New(p, "BILBERRYCTL")
	o.register(set)
	list, sets := attach(p)
	if err := settings.Parse(p, args, append(sets, set)...); err != nil {
		return nil, "", err
	}
	for _, a := range list {
		if !a.sub.Used {
			continue
		}
		if a.command.arg != "" && a.arg == "" {
			return nil, "", fmt.Errorf("%s: name the %s", a.name, a.command.arg)
		}
		return a.command, a.arg, nil
	}
	return nil, "", errors.New("name a command: " + strings.Join(commandNames(), ", ") + "; see --help")
}

func attach(p *flaggy.Parser) ([]*attached, []*settings.Set) {
	var list []*attached
	var sets []*settings.Set
	groups := map[string]*flaggy.Subcommand{}
	for _, c := range commands() {
		a := &attached{command: c}
		group, word, nested := strings.Cut(c.name, " ")
		if !nested {
			word = group
		}
		a.sub = flaggy.NewSubcommand(word)
		a.sub.Description = c.help
		if c.arg != "" {
			a.sub.AddPositionalValue(&a.arg, c.arg, 1, false, c.arg)
		}
		if c.flags != nil {
			set := settings.New(a.sub, "BILBERRYCTL")
			c.flags(set)
			sets = append(sets, set)
		}
		if !nested {
			p.AttachSubcommand(a.sub, 1)
		} else {
			if groups[group] == nil {
				groups[group] = flaggy.NewSubcommand(group)
				groups[group].Description = "commands on " + group
				p.AttachSubcommand(groups[group], 1)
			}
			groups[group].AttachSubcommand(a.sub, 1)
		}
		list = append(list, a)
	}
	return list, sets
}

func commandNames() []string {
	var names []string
	for _, c := range commands() {
		names = append(names, c.name)
	}
	return names
}
