package oper

import (
	"fmt"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"geraniumpass/config"
	"geraniumpass/entry"
)

func (c *Command) registerUpstreams(app *kingpin.Application) {
	c.registerNamed(app.Command("drain", "Drain an upstream instance; it finishes its requests in flight."), config.OpDrain, "instance", "ID of the instance.")
	c.registerNamed(app.Command("undrain", "Return an instance to service once its agent has been restarted."), config.OpUndrain, "instance", "ID of the instance.")
	app.Command("status", "Show upstreams, groups, targets and revisions as one entry sees them.").Action(func(*kingpin.ParseContext) error {
		return c.printStatus()
	})
}

func (c *Command) printStatus() error {
	s, err := c.Client.Status()
	if err != nil {
		return err
	}
	if c.Output == outputJSON {
		return c.printJSON(s)
	}
	age := "never confirmed by the key-value service"
	if s.AgeMillis >= 0 {
		age = "confirmed " + (time.Duration(s.AgeMillis) * time.Millisecond).String() + " ago"
	}
	fmt.Fprintf(c.Out, "entry %s in %s: revision %d, %s; %d requests in flight\n\n", s.Entry, s.Domain, s.Revision, age, s.InFlight)
	if err := c.printTable(s, []string{"UPSTREAM", "SERVICE", "DOMAIN", "STATE", "RUNNING", "LIMIT", "QUEUED", "REVISION"}, upstreamRows(s)); err != nil {
		return err
	}
	fmt.Fprintln(c.Out)
	if err := c.printTable(s, []string{"CLASS", "TARGET", "MET", "DOMAIN", "WHOLE", "NOT RUN", "UNKNOWN", "P50", "P95", "P99"}, classRows(s)); err != nil {
		return err
	}
	fmt.Fprintln(c.Out)
	return c.printTable(s, []string{"GROUP", "LEADING", "PHASE", "MAP", "SKEW", "MOVES"}, groupRows(s))
}

func upstreamRows(s *entry.Status) [][]string {
	rows := make([][]string, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		state := "in service"
		switch {
		case !u.Linked:
			state = "no link"
		case u.Leaving:
			state = "leaving"
		case !u.Healthy:
			state = "unhealthy"
		case !u.Usable:
			state = "not usable"
		}
		rows = append(rows, []string{
			u.ID, u.Service, u.Domain, state, strconv.Itoa(u.Running), strconv.Itoa(u.Limit),
			fmt.Sprintf("%.0f", u.Queued), strconv.FormatUint(u.Revision, 10),
		})
	}
	return rows
}

func classRows(s *entry.Status) [][]string {
	var rows [][]string
	for _, c := range s.Classes {
		target := fmt.Sprintf("%v%% %s in %s", c.Percent, c.Measure, c.Within)
		if len(c.Rows) == 0 {
			rows = append(rows, []string{c.Class, target, strconv.FormatBool(c.Met), "-", "0", "0", "0", "-", "-", "-"})
		}
		for _, r := range c.Rows {
			rows = append(rows, []string{
				c.Class, target, strconv.FormatBool(c.Met), r.Domain,
				fmt.Sprint(r.Counts["whole"]), fmt.Sprint(r.Counts["not_run"]), fmt.Sprint(r.Counts["unknown"]),
				r.P50.String(), r.P95.String(), r.P99.String(),
			})
		}
	}
	return rows
}

func groupRows(s *entry.Status) [][]string {
	rows := make([][]string, 0, len(s.Groups))
	for _, g := range s.Groups {
		rows = append(rows, []string{g.Group, strconv.FormatBool(g.Leading), g.Phase, strconv.FormatUint(g.Version, 10), fmt.Sprintf("%.3f", g.Skew), strconv.Itoa(g.Moves)})
	}
	return rows
}
