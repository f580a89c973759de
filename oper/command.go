package oper

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"geraniumpass/config"
	"geraniumpass/entry"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// Command holds the flags shared by all operator commands.
type Command struct {
	Client Client
	Output string
	Who    string
	Note   string
	Base   uint64
	DryRun bool
	Out    io.Writer
}

// Register adds the operator commands to app. Each command returns its error to kingpin, which
// exits with a non-zero status.
func Register(app *kingpin.Application) {
	c := &Command{Out: os.Stdout}
	app.Flag("entry", "Control address of any entry.").Envar("GERANIUMPASS_ENTRY").Default("127.0.0.1:7100").StringVar(&c.Client.Address)
	app.Flag("operator-key", "Operator key.").Envar("GERANIUMPASS_OPERATOR_KEY").StringVar(&c.Client.Key)
	app.Flag("output", "Output format: table or json.").Default(outputTable).EnumVar(&c.Output, outputTable, outputJSON)
	app.Flag("who", "Name recorded in the audit trail.").Envar("USER").Default("operator").StringVar(&c.Who)
	app.Flag("note", "Reason for the change, recorded in the audit trail.").StringVar(&c.Note)
	app.Flag("base", "Revision that the change is based on; defaults to the newest.").Uint64Var(&c.Base)
	app.Flag("dry-run", "Show what a change would do without making it.").BoolVar(&c.DryRun)
	c.registerClasses(app)
	c.registerAccounts(app)
	c.registerGroups(app)
	c.registerDocument(app)
	c.registerUpstreams(app)
	c.registerTerminations(app)
	c.registerInForce(app)
}

// apply previews a change, submits it unless this is a dry run, and prints the conflicting changes
// if it is rejected.
func (c *Command) apply(ops ...config.Op) error {
	doc, err := c.Client.Config()
	if err != nil {
		return err
	}
	base := doc.Revision
	if c.Base != 0 {
		base = c.Base
	}
	if base == doc.Revision {
		if err := c.printPreview(doc, ops); err != nil {
			return err
		}
	}
	if c.DryRun {
		return nil
	}
	id := uuid.NewString()
	reply, err := c.Client.Change(entry.ChangeRequest{
		ID:   id,
		Base: base,
		Who:  c.Who,
		Note: c.Note,
		Ops:  ops,
	})
	var failed *CallError
	if errors.As(err, &failed) {
		c.printFailure(failed, id)
	}
	if err != nil {
		return err
	}
	if c.Output == outputJSON {
		return c.printJSON(reply)
	}
	fmt.Fprintf(c.Out, "accepted as revision %d\n", reply.Revision)
	return nil
}

func (c *Command) printPreview(doc *config.Document, ops []config.Op) error {
	next, err := config.Apply(doc, config.Record{
		ID:       "preview",
		Revision: doc.Revision + 1,
		Who:      c.Who,
		Ops:      ops,
	})
	if err != nil {
		return err
	}
	if c.Output == outputJSON && !c.DryRun {
		return nil
	}
	lines := Diff(doc, next)
	if len(lines) == 0 {
		lines = []string{"(no difference)"}
	}
	fmt.Fprintf(c.Out, "against revision %d:\n  %s\n", doc.Revision, strings.Join(lines, "\n  "))
	return nil
}

func (c *Command) printFailure(failed *CallError, id string) {
	if c.Output == outputJSON {
		_ = c.printJSON(failed.Reply)
		return
	}
	for _, f := range failed.Reply.Findings {
		fmt.Fprintln(c.Out, "  "+f.Error())
	}
	for _, r := range failed.Reply.Others {
		fmt.Fprintf(c.Out, "  revision %d by %s at %s: %s\n", r.Revision, r.Who, r.At.Format("15:04:05"), summarize(r))
	}
	if failed.Reply.Unsure {
		fmt.Fprintf(c.Out, "  look for id %s in the audit trail before making the change again\n", id)
	}
}

func summarize(r config.Record) string {
	parts := make([]string, 0, len(r.Ops))
	for _, op := range r.Ops {
		parts = append(parts, describe(op))
	}
	return strings.Join(parts, "; ")
}

func describe(op config.Op) string {
	name := op.Name
	switch {
	case op.Class != nil:
		name = op.Class.Name
	case op.Account != nil:
		name = op.Account.Name
	case op.Group != nil:
		name = op.Group.Name
	}
	out := strings.ReplaceAll(string(op.Kind), "_", " ") + " " + name
	if op.Target != nil {
		out += fmt.Sprintf(" to %v%% %s within %s", op.Target.Percent, op.Target.Measure, op.Target.Within)
	}
	return out
}
