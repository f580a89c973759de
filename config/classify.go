package config

import (
	"slices"
	"time"

	"geraniumpass/setup"
)

const (
	unclassifiedName   = "unclassified"
	unclassifiedWithin = 30 * time.Second
	unclassifiedShare  = 95
)

var unclassified = Class{
	Name: unclassifiedName,
	Target: Target{
		Measure: MeasureWhole,
		Within:  setup.Duration{Duration: unclassifiedWithin},
		Percent: unclassifiedShare,
	},
}

// Classify returns the first class that matches, or one with a target of 30 seconds when none does.
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

// AccountOf returns the account that holds a key by the key's SHA-256 in hexadecimal.
func (d *Document) AccountOf(keySHA256 string) (Account, bool) {
	for _, a := range d.Accounts {
		if slices.Contains(a.KeySHA256, keySHA256) {
			return a, true
		}
	}
	return Account{}, false
}
