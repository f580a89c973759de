package oper

import (
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"geraniumpass/config"
	"geraniumpass/setup"
)

func (c *Command) classes(app *kingpin.Application) {
	class := app.Command("class", "Classes of work.")
	class.Command("list", "List the classes in the order in which they match.").Action(func(*kingpin.ParseContext) error {
		return c.listClasses()
	})
	c.setClass(class.Command("set", "Create or replace a class."))
	c.named(class.Command("remove", "Remove a class."), config.OpRemoveClass, "name", "Name of the class.")
	c.setTarget(app.Command("target", "Targets of classes.").Command("set", "Set the target of a class."))
}

// targetFlags are the flags that state a target.
type targetFlags struct {
	measure string
	within  time.Duration
	percent float64
}

func (t *targetFlags) register(cmd *kingpin.CmdClause) {
	cmd.Flag("measure", "What the target is about: first_token or whole.").Default(string(config.MeasureWhole)).EnumVar(&t.measure, string(config.MeasureFirstToken), string(config.MeasureWhole))
	cmd.Flag("within", "Time that the target allows, such as 400ms.").Required().DurationVar(&t.within)
	cmd.Flag("percent", "Share of the requests that must be in time.").Default("95").Float64Var(&t.percent)
}

func (t *targetFlags) target() config.Target {
	return config.Target{
		Measure: config.Measure(t.measure),
		Within:  setup.Duration{Duration: t.within},
		Percent: t.percent,
	}
}

func (c *Command) setClass(cmd *kingpin.CmdClause) {
	var t targetFlags
	t.register(cmd)
	name := cmd.Arg("name", "Name of the class.").Required().String()
	services := cmd.Flag("service", "Service that the class takes; may be repeated.").Strings()
	accounts := cmd.Flag("account", "Client account that the class takes; may be repeated.").Strings()
	label := cmd.Flag("label", "Value of X-Work-Class that the class takes.").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		return c.apply(config.Op{
			Kind: config.OpSetClass,
			Class: &config.Class{
				Name: *name,
				Match: config.Match{
					Services: *services,
					Accounts: *accounts,
					Label:    *label,
				},
				Target: t.target(),
			},
		})
	})
}

func (c *Command) setTarget(cmd *kingpin.CmdClause) {
	var t targetFlags
	t.register(cmd)
	name := cmd.Arg("class", "Name of the class.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		target := t.target()
		return c.apply(config.Op{
			Kind:   config.OpSetTarget,
			Name:   *name,
			Target: &target,
		})
	})
}

func (c *Command) listClasses() error {
	doc, err := c.Client.Config()
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(doc.Classes))
	for _, cl := range doc.Classes {
		rows = append(rows, []string{
			cl.Name,
			orAny(cl.Match.Services),
			orAny(cl.Match.Accounts),
			cl.Match.Label,
			string(cl.Target.Measure),
			cl.Target.Within.String(),
			fmt.Sprint(cl.Target.Percent),
		})
	}
	return c.show(doc.Classes, []string{"CLASS", "SERVICES", "ACCOUNTS", "LABEL", "MEASURE", "WITHIN", "PERCENT"}, rows)
}

func orAny(list []string) string {
	if len(list) == 0 {
		return "any"
	}
	return strings.Join(list, ",")
}
