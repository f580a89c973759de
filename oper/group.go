package oper

import (
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"geraniumpass/config"
)

func (c *Command) groups(app *kingpin.Application) {
	group := app.Command("group", "Rebalancing targets of rank groups.")
	group.Command("list", "List the targets.").Action(func(*kingpin.ParseContext) error {
		return c.listGroups()
	})
	set := group.Command("set", "Set a group's target.")
	var g config.Group
	set.Arg("name", "Name of the group.").Required().StringVar(&g.Name)
	set.Flag("skew", "Accepted load of the slowest rank above the mean, such as 0.15.").Required().Float64Var(&g.Skew)
	set.Flag("moves-per-hour", "Expert copies that may be moved in an hour.").Required().IntVar(&g.MovesPerHour)
	set.Flag("hold-in-surge", "Move nothing while a surge lasts.").BoolVar(&g.HoldInSurge)
	set.Action(func(*kingpin.ParseContext) error {
		return c.apply(config.Op{
			Kind:  config.OpSetGroup,
			Group: &g,
		})
	})
	c.named(group.Command("remove", "Remove a group's target, after which nothing is moved in it."), config.OpRemoveGroup, "name", "Name of the group.")
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
	return c.show(doc.Groups, []string{"GROUP", "SKEW", "MOVES/HOUR", "HOLD IN SURGE"}, rows)
}
