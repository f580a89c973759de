package oper

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/zeebo/errs/v2"
)

const columnPadding = 2

func (c *Command) printJSON(v any) error {
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	return errs.Wrap(e.Encode(v))
}

// printTable prints v as JSON, or rows as a table with the column names in head.
func (c *Command) printTable(v any, head []string, rows [][]string) error {
	if c.Output == outputJSON {
		return c.printJSON(v)
	}
	w := tabwriter.NewWriter(c.Out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(w, strings.Join(head, "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return errs.Wrap(w.Flush())
}
