package oper

import (
	"fmt"
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs/v2"

	"geraniumpass/config"
	"geraniumpass/setup"
)

// File is the operator-written part of the configuration: a document without its revision, drained
// instances and records.
type File struct {
	Classes  []config.Class   `json:"classes" validate:"dive"`
	Accounts []config.Account `json:"accounts" validate:"dive"`
	Groups   []config.Group   `json:"groups" validate:"dive"`
}

func (c *Command) registerDocument(app *kingpin.Application) {
	cfg := app.Command("config", "The complete configuration.")
	cfg.Command("get", "Print the configuration.").Action(func(*kingpin.ParseContext) error {
		doc, err := c.Client.Config()
		if err != nil {
			return err
		}
		return c.printJSON(doc)
	})
	diff := cfg.Command("diff", "Show what applying a file would change.")
	diffFile := diff.Arg("file", "File in JSON with comments.").Required().ExistingFile()
	diff.Action(func(*kingpin.ParseContext) error {
		c.DryRun = true
		return c.applyFile(*diffFile)
	})
	apply := cfg.Command("apply", "Replace the configuration with that in a file.")
	applyFile := apply.Arg("file", "File in JSON with comments.").Required().ExistingFile()
	apply.Action(func(*kingpin.ParseContext) error {
		return c.applyFile(*applyFile)
	})
	audit := app.Command("audit", "Show who changed what.")
	since := audit.Flag("since", "First revision to show.").Default("1").Uint64()
	audit.Action(func(*kingpin.ParseContext) error {
		return c.printAudit(*since)
	})
}

func (c *Command) applyFile(name string) error {
	b, err := os.ReadFile(name)
	if err != nil {
		return errs.Wrap(err)
	}
	var f File
	if err := setup.Parse(name, b, &f); err != nil {
		return err
	}
	doc, err := c.Client.Config()
	if err != nil {
		return err
	}
	ops := Ops(doc, f)
	if len(ops) == 0 {
		fmt.Fprintf(c.Out, "revision %d is the same as the file\n", doc.Revision)
		return nil
	}
	return c.apply(ops...)
}

// Ops returns the operations that make a document equal to a file.
func Ops(doc *config.Document, f File) []config.Op {
	var ops []config.Op
	classes := classTexts(doc.Classes)
	for _, v := range f.Classes {
		if classes[v.Name] != encodeJSON(v) {
			ops = append(ops, config.Op{
				Kind:  config.OpSetClass,
				Class: &v,
			})
		}
		delete(classes, v.Name)
	}
	accounts := accountTexts(doc.Accounts)
	for _, v := range f.Accounts {
		if accounts[v.Name] != encodeJSON(v) {
			ops = append(ops, config.Op{
				Kind:    config.OpSetAccount,
				Account: &v,
			})
		}
		delete(accounts, v.Name)
	}
	groups := groupTexts(doc.Groups)
	for _, v := range f.Groups {
		if groups[v.Name] != encodeJSON(v) {
			ops = append(ops, config.Op{
				Kind:  config.OpSetGroup,
				Group: &v,
			})
		}
		delete(groups, v.Name)
	}
	ops = append(ops, removals(config.OpRemoveClass, classes)...)
	ops = append(ops, removals(config.OpRemoveAccount, accounts)...)
	return append(ops, removals(config.OpRemoveGroup, groups)...)
}

func removals(kind config.OpKind, remaining map[string]string) []config.Op {
	ops := make([]config.Op, 0, len(remaining))
	for name := range remaining {
		ops = append(ops, config.Op{
			Kind: kind,
			Name: name,
		})
	}
	return ops
}

func (c *Command) printAudit(since uint64) error {
	records, err := c.Client.Audit(since)
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(records))
	for _, r := range records {
		rows = append(rows, []string{
			strconv.FormatUint(r.Revision, 10),
			r.At.Format("2006-01-02 15:04:05"),
			r.Who,
			summarize(r),
			r.Note,
			r.ID,
		})
	}
	return c.printTable(records, []string{"REVISION", "AT", "WHO", "WHAT", "NOTE", "ID"}, rows)
}
