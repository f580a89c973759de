package oper

import (
	"github.com/alecthomas/kingpin/v2"

	"geraniumpass/config"
)

// named makes cmd one that takes a name and makes the change of a kind to what has that name.
func (c *Command) named(cmd *kingpin.CmdClause, kind config.OpKind, arg, help string) {
	name := cmd.Arg(arg, help).Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		return c.apply(config.Op{
			Kind: kind,
			Name: *name,
		})
	})
}
