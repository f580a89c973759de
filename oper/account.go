package oper

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs/v2"

	"geraniumpass/config"
)

func (c *Command) registerAccounts(app *kingpin.Application) {
	account := app.Command("account", "Client accounts.")
	account.Command("list", "List the client accounts.").Action(func(*kingpin.ParseContext) error {
		return c.listAccounts()
	})
	set := account.Command("set", "Create an account or replace its keys.")
	name := set.Arg("name", "Name of the account.").Required().String()
	files := set.Flag("key-file", "File with a bearer key of the account; may be repeated. Only the SHA-256 of a key is kept.").Required().ExistingFiles()
	set.Action(func(*kingpin.ParseContext) error {
		return c.setAccount(*name, *files)
	})
	c.registerNamed(account.Command("remove", "Remove an account."), config.OpRemoveAccount, "name", "Name of the account.")
}

func (c *Command) setAccount(name string, files []string) error {
	a := &config.Account{Name: name}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return errs.Wrap(err)
		}
		a.KeySHA256 = append(a.KeySHA256, HashKey(strings.TrimSpace(string(b))))
	}
	return c.apply(config.Op{
		Kind:    config.OpSetAccount,
		Account: a,
	})
}

// HashKey returns the SHA-256 of a bearer key in hexadecimal, as stored in the configuration.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (c *Command) listAccounts() error {
	doc, err := c.Client.Config()
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(doc.Accounts))
	for _, a := range doc.Accounts {
		rows = append(rows, []string{a.Name, strconv.Itoa(len(a.KeySHA256))})
	}
	return c.printTable(doc.Accounts, []string{"ACCOUNT", "KEYS"}, rows)
}
