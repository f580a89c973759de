package oper

import (
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"geraniumpass/config"
)

func (c *Command) registerGroups(app *kingpin.Application) {
	group := app.Command("group", "Rebalancing targets of rank groups.")
	group.Command("list", "List the targets.").Action(func(*kingpin.ParseContext) error {
		return c.listGroups()
	})
	set := group.Command("set", "Set a group's target.")
	var g config.Group
	set.Arg("name", "Name of the group.").Required().StringVar(&g.Name)
	set.Flag("skew", "Accepted excess of the slowest rank over the mean, as a fraction such as 0.15.").Required().Float64Var(&g.Skew)
	set.Flag("moves-per-hour", "Maximum expert copies moved per hour.").Required().IntVar(&g.MovesPerHour)
	set.Flag("hold-in-surge", "Suspend moves during a load surge.").BoolVar(&g.HoldInSurge)
	set.Action(func(*kingpin.ParseContext) error {
		return c.apply(config.Op{
			Kind:  config.OpSetGroup,
			Group: &g,
		})
	})
	c.registerNamed(group.Command("remove", "Remove a group's target, which stops its rebalancing."), config.OpRemoveGroup, "name", "Name of the group.")
}

func (c *Command) listGroups() error {
	doc, err := c.Client.Config()
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(doc.Groups))
	for _, g := range doc.Groups {
		rows = append(rows, []string{g.Name, fmt.Sprint(g.Skew), strconv.Itoa(g.MovesPerHour), strconv.FormatBool(g.HoldInSurge)})
	}
	return c.printTable(doc.Groups, []string{"GROUP", "SKEW", "MOVES/HOUR", "HOLD IN SURGE"}, rows)
}
