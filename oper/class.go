package oper

import (
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"geraniumpass/config"
	"geraniumpass/setup"
)

func (c *Command) registerClasses(app *kingpin.Application) {
	class := app.Command("class", "Classes of work.")
	class.Command("list", "List the classes in the order in which they match.").Action(func(*kingpin.ParseContext) error {
		return c.listClasses()
	})
	c.registerSetClass(class.Command("set", "Create or replace a class."))
	c.registerNamed(class.Command("remove", "Remove a class."), config.OpRemoveClass, "name", "Name of the class.")
	c.registerSetTarget(app.Command("target", "Targets of classes.").Command("set", "Set the target of a class."))
}

// targetFlags holds the flags that define a target.
type targetFlags struct {
	measure string
	within  time.Duration
	percent float64
}

func (t *targetFlags) register(cmd *kingpin.CmdClause) {
	cmd.Flag("measure", "Point at which latency is measured: first_token or whole.").Default(string(config.MeasureComplete)).EnumVar(&t.measure, string(config.MeasureFirstToken), string(config.MeasureComplete))
	cmd.Flag("within", "Latency limit, such as 400ms.").Required().DurationVar(&t.within)
	cmd.Flag("percent", "Percentage of requests that must meet the limit.").Default("95").Float64Var(&t.percent)
}

func (t *targetFlags) target() config.Target {
	return config.Target{
		Measure: config.Measure(t.measure),
		Within:  setup.Duration{Duration: t.within},
		Percent: t.percent,
	}
}

func (c *Command) registerSetClass(cmd *kingpin.CmdClause) {
	var t targetFlags
	t.register(cmd)
	name := cmd.Arg("name", "Name of the class.").Required().String()
	services := cmd.Flag("service", "Service that the class matches; may be repeated.").Strings()
	accounts := cmd.Flag("account", "Client account that the class matches; may be repeated.").Strings()
	label := cmd.Flag("label", "Value of X-Work-Class that the class matches.").String()
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

func (c *Command) registerSetTarget(cmd *kingpin.CmdClause) {
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
			joinOrAny(cl.Match.Services),
			joinOrAny(cl.Match.Accounts),
			cl.Match.Label,
			string(cl.Target.Measure),
			cl.Target.Within.String(),
			fmt.Sprint(cl.Target.Percent),
		})
	}
	return c.printTable(doc.Classes, []string{"CLASS", "SERVICES", "ACCOUNTS", "LABEL", "MEASURE", "WITHIN", "PERCENT"}, rows)
}

func joinOrAny(list []string) string {
	if len(list) == 0 {
		return "any"
	}
	return strings.Join(list, ",")
}
