// Command bilberryctl is the operators' command.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/integrii/flaggy"

	"bilberrydale/internal/ctl"
	"bilberrydale/internal/settings"
	"bilberrydale/process/platform"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "bilberryctl:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	p := flaggy.NewParser("bilberryctl")
	p.Description = "Edits the tables and looks after entry hosts."
	p.ShowHelpOnUnexpected = false
	url, author, note, dir, token := "http://127.0.0.1:8090", os.Getenv("USER"), "", ".", ""
	set := settings.New(p, "BILBERRYCTL")
	set.String(&url, "platform", "base URL of the platform's object API", settings.Required)
	set.Secret(&token, "platform-token", "bearer token for the platform")
	set.String(&author, "author", "name that the release is accepted under", nil)
	set.String(&note, "note", "why the release is made", nil)
	commands := map[string]*flaggy.Subcommand{}
	for name, help := range map[string]string{
		"validate": "check the tables of a folder", "diff": "show what apply would change", "apply": "make the tables of a folder the next release",
	} {
		c := flaggy.NewSubcommand(name)
		c.Description = help
		c.AddPositionalValue(&dir, "dir", 1, true, "folder with the tables' *.yaml files")
		p.AttachSubcommand(c, 1)
		commands[name] = c
	}
	if err := p.ParseArgs(args); err != nil {
		return err
	}
	if err := set.Check(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	t := &ctl.Tables{Store: platform.NewHTTP(platform.HTTPOptions{BaseURL: url, Token: token}), Author: author, Out: os.Stdout}
	switch {
	case commands["validate"].Used:
		return t.Validate(dir)
	case commands["diff"].Used:
		return t.Diff(ctx, dir)
	case commands["apply"].Used:
		return t.Apply(ctx, dir, note)
	}
	return fmt.Errorf("name a command; see --help")
}
