package config

import (
	"slices"
	"time"

	"geraniumpass/setup"
)

const (
	unclassifiedName    = "unclassified"
	unclassifiedWithin  = 30 * time.Second
	unclassifiedPercent = 95
)

var unclassified = Class{
	Name: unclassifiedName,
	Target: Target{
		Measure: MeasureComplete,
		Within:  setup.Duration{Duration: unclassifiedWithin},
		Percent: unclassifiedPercent,
	},
}

// Classify returns the first class that matches, or a default class with a target of 30 seconds if
// none does.
func (d *Document) Classify(service, account, label string) Class {
	for _, c := range d.Classes {
		if c.Match.matches(service, account, label) {
			return c
		}
	}
	return unclassified
}

func (m *Match) matches(service, account, label string) bool {
	return (len(m.Services) == 0 || slices.Contains(m.Services, service)) &&
		(len(m.Accounts) == 0 || slices.Contains(m.Accounts, account)) &&
		(m.Label == "" || m.Label == label)
}

// AccountByKey returns the account with the key of the given SHA-256 in hexadecimal, and whether
// there is one.
func (d *Document) AccountByKey(keySHA256 string) (Account, bool) {
	for _, a := range d.Accounts {
		if slices.Contains(a.KeySHA256, keySHA256) {
			return a, true
		}
	}
	return Account{}, false
}
