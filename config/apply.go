package config

import (
	"fmt"
	"slices"

	"github.com/samber/lo"

	"geraniumpass/setup"
)

// Apply returns a copy of doc with r applied and leaves doc unchanged. It fails with a *GapError
// unless r has the revision after that of doc, and with an *InvalidError if the result is invalid.
func Apply(doc *Document, r Record) (*Document, error) {
	if r.Revision != doc.Revision+1 {
		return nil, &GapError{
			Have: doc.Revision,
			Got:  r.Revision,
		}
	}
	next := &Document{
		Revision: r.Revision,
		Classes:  slices.Clone(doc.Classes),
		Accounts: slices.Clone(doc.Accounts),
		Groups:   slices.Clone(doc.Groups),
		Drained:  slices.Clone(doc.Drained),
		Records:  append(slices.Clone(doc.Records), r),
	}
	var findings []*setup.ValueError
	for i, op := range r.Ops {
		if f := next.apply(op); f != nil {
			f.Path = fmt.Sprintf("ops[%d]%s", i, f.Path)
			findings = append(findings, f)
		}
	}
	findings = append(findings, setup.Check(next)...)
	findings = append(findings, next.checkSemantics()...)
	if len(findings) > 0 {
		return nil, &InvalidError{Findings: findings}
	}
	return next, nil
}

func (d *Document) apply(op Op) *setup.ValueError {
	switch op.Kind {
	case OpSetClass:
		return d.setClass(op.Class)
	case OpRemoveClass:
		return checkFound(op.Name, d.removeClass(op.Name))
	case OpSetTarget:
		return d.setTarget(op.Name, op.Target)
	case OpSetAccount:
		return d.setAccount(op.Account)
	case OpRemoveAccount:
		return checkFound(op.Name, d.removeAccount(op.Name))
	case OpSetGroup:
		return d.setGroup(op.Group)
	case OpRemoveGroup:
		return checkFound(op.Name, d.removeGroup(op.Name))
	case OpDrain:
		return d.drain(op.Name)
	case OpUndrain:
		return checkFound(op.Name, d.undrain(op.Name))
	}
	return &setup.ValueError{
		Path: ".kind",
		Got:  string(op.Kind),
		Want: "a known kind of change",
	}
}

func missingValue(path string) *setup.ValueError {
	return &setup.ValueError{
		Path: path,
		Got:  "nothing",
		Want: "a value",
	}
}

// checkFound returns a finding for name unless found is true.
func checkFound(name string, found bool) *setup.ValueError {
	if found {
		return nil
	}
	return &setup.ValueError{
		Path: ".name",
		Got:  fmt.Sprintf("%q", name),
		Want: "the name of one that is there",
	}
}

func (d *Document) setClass(c *Class) *setup.ValueError {
	if c == nil {
		return missingValue(".class")
	}
	_, i, ok := lo.FindIndexOf(d.Classes, func(have Class) bool { return have.Name == c.Name })
	if ok {
		d.Classes[i] = *c
	} else {
		d.Classes = append(d.Classes, *c)
	}
	return nil
}

func (d *Document) removeClass(name string) bool {
	n := len(d.Classes)
	d.Classes = lo.Reject(d.Classes, func(c Class, _ int) bool { return c.Name == name })
	return len(d.Classes) < n
}

func (d *Document) setTarget(class string, t *Target) *setup.ValueError {
	if t == nil {
		return missingValue(".target")
	}
	_, i, ok := lo.FindIndexOf(d.Classes, func(have Class) bool { return have.Name == class })
	if ok {
		d.Classes[i].Target = *t
	}
	return checkFound(class, ok)
}

func (d *Document) setAccount(a *Account) *setup.ValueError {
	if a == nil {
		return missingValue(".account")
	}
	_, i, ok := lo.FindIndexOf(d.Accounts, func(have Account) bool { return have.Name == a.Name })
	if ok {
		d.Accounts[i] = *a
	} else {
		d.Accounts = append(d.Accounts, *a)
	}
	return nil
}

func (d *Document) removeAccount(name string) bool {
	n := len(d.Accounts)
	d.Accounts = lo.Reject(d.Accounts, func(a Account, _ int) bool { return a.Name == name })
	return len(d.Accounts) < n
}

func (d *Document) setGroup(g *Group) *setup.ValueError {
	if g == nil {
		return missingValue(".group")
	}
	_, i, ok := lo.FindIndexOf(d.Groups, func(have Group) bool { return have.Name == g.Name })
	if ok {
		d.Groups[i] = *g
	} else {
		d.Groups = append(d.Groups, *g)
	}
	return nil
}

func (d *Document) removeGroup(name string) bool {
	n := len(d.Groups)
	d.Groups = lo.Reject(d.Groups, func(g Group, _ int) bool { return g.Name == name })
	return len(d.Groups) < n
}

func (d *Document) drain(id string) *setup.ValueError {
	if id == "" {
		return missingValue(".name")
	}
	d.Drained = lo.Uniq(append(d.Drained, id))
	return nil
}

func (d *Document) undrain(id string) bool {
	n := len(d.Drained)
	d.Drained = lo.Without(d.Drained, id)
	return len(d.Drained) < n
}

// checkSemantics reports what struct tags cannot express: keys shared by two accounts and targets
// without a positive time limit.
func (d *Document) checkSemantics() []*setup.ValueError {
	var out []*setup.ValueError
	for i, c := range d.Classes {
		if c.Target.Within.Duration <= 0 {
			out = append(out, &setup.ValueError{
				Path: fmt.Sprintf("classes[%d].target.within", i),
				Got:  c.Target.Within.String(),
				Want: "more than zero",
			})
		}
	}
	keyOwner := make(map[string]string)
	for i, a := range d.Accounts {
		for j, k := range a.KeySHA256 {
			if other, ok := keyOwner[k]; ok {
				out = append(out, &setup.ValueError{
					Path: fmt.Sprintf("accounts[%d].key_sha256[%d]", i, j),
					Got:  "a key that account " + other + " has",
					Want: "a key of its own",
				})
			}
			keyOwner[k] = a.Name
		}
	}
	return out
}
