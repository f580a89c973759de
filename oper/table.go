package oper

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/zeebo/errs/v2"
)

const columnGap = 2

func (c *Command) json(v any) error {
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	return errs.Wrap(e.Encode(v))
}

// show prints v as JSON, or the rows as a table with a head.
func (c *Command) show(v any, head []string, rows [][]string) error {
	if c.Output == outputJSON {
		return c.json(v)
	}
	w := tabwriter.NewWriter(c.Out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.Join(head, "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return errs.Wrap(w.Flush())
}
