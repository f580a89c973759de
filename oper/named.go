package oper

import (
	"github.com/alecthomas/kingpin/v2"

	"geraniumpass/config"
)

// registerNamed gives cmd one required name argument and an action that submits an operation of the
// given kind on that name.
func (c *Command) registerNamed(cmd *kingpin.CmdClause, kind config.OpKind, arg, help string) {
	name := cmd.Arg(arg, help).Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		return c.apply(config.Op{
			Kind: kind,
			Name: *name,
		})
	})
}
