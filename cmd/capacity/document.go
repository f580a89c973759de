package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/zeebo/errs/v2"

	"geraniumpass/config"
	"geraniumpass/oper"
	"geraniumpass/setup"
)

func (r *runner) document() []series {
	size := series{name: "document", unit: "bytes", variable: "accounts"}
	lookup := series{name: "finding an account and a class", unit: "ns", variable: "accounts"}
	classSize := series{name: "document", unit: "bytes", variable: "classes"}
	recordSize := series{name: "document", unit: "bytes", variable: "records in it"}
	for _, n := range []int{10, 55, 110, 220} {
		doc := newDocument(n, 20, 1)
		size.points = append(size.points, point{x: float64(n), y: encodedSize(doc)})
		key := doc.Accounts[n-1].KeySHA256[0]
		const rounds = 20000
		started := time.Now()
		for range rounds {
			a, _ := doc.AccountByKey(key)
			doc.Classify(service, a.Name, "")
		}
		lookup.points = append(lookup.points, point{x: float64(n), y: float64(time.Since(started).Nanoseconds()) / rounds})
	}
	for _, n := range []int{5, 10, 20, 40} {
		classSize.points = append(classSize.points, point{x: float64(n), y: encodedSize(newDocument(10, n, 1))})
	}
	for _, n := range []int{32, 64, 128, 256} {
		recordSize.points = append(recordSize.points, point{x: float64(n), y: encodedSize(newDocument(10, 20, n))})
	}
	return []series{size, classSize, recordSize, lookup}
}

func newDocument(accounts, classes, records int) *config.Document {
	doc := &config.Document{}
	for i := range accounts {
		doc.Accounts = append(doc.Accounts, config.Account{
			Name:      fmt.Sprintf("client-account-%03d", i),
			KeySHA256: []string{oper.HashKey(fmt.Sprint(i))},
		})
	}
	for i := range classes {
		doc.Classes = append(doc.Classes, config.Class{
			Name:  fmt.Sprintf("class-%03d", i),
			Match: config.Match{Services: []string{"some-model"}, Label: "label"},
			Target: config.Target{
				Measure: config.MeasureFirstToken,
				Within:  setup.Duration{Duration: time.Second},
				Percent: 95,
			},
		})
	}
	target := doc.Classes[0].Target
	for i := range records {
		doc.Records = append(doc.Records, config.Record{
			ID:       "0f8fad5b-d9cb-469f-a165-70867728950e",
			Revision: uint64(i + 1),
			Who:      "an operator",
			At:       time.Unix(1_800_000_000, 0).UTC(),
			Note:     "school week",
			Ops: []config.Op{{
				Kind:   config.OpSetTarget,
				Name:   "class-000",
				Target: &target,
			}},
		})
	}
	return doc
}

func encodedSize(v any) float64 {
	b, err := json.Marshal(v)
	must(errs.Wrap(err))
	return float64(len(b))
}
