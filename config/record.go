package config

import "time"

// Record is the audit record of an accepted change and contains the change itself.
type Record struct {
	ID       string    `json:"id" validate:"required,max=128"`
	Revision uint64    `json:"revision"`
	Who      string    `json:"who" validate:"required,max=128"`
	At       time.Time `json:"at"`
	Note     string    `json:"note,omitempty" validate:"max=1024"`
	Ops      []Op      `json:"ops" validate:"min=1,dive"`
}

// OpKind is the kind of an Op.
type OpKind string

// The kinds of operation.
const (
	OpSetClass      OpKind = "set_class"
	OpRemoveClass   OpKind = "remove_class"
	OpSetTarget     OpKind = "set_target"
	OpSetAccount    OpKind = "set_account"
	OpRemoveAccount OpKind = "remove_account"
	OpSetGroup      OpKind = "set_group"
	OpRemoveGroup   OpKind = "remove_group"
	OpDrain         OpKind = "drain"
	OpUndrain       OpKind = "undrain"
)

// Op is one operation of a change. Name identifies what is removed, drained or retargeted; one of
// the pointers holds the new value.
type Op struct {
	Kind    OpKind   `json:"kind" validate:"required,oneof=set_class remove_class set_target set_account remove_account set_group remove_group drain undrain"`
	Name    string   `json:"name,omitempty" validate:"max=128"`
	Class   *Class   `json:"class,omitempty"`
	Target  *Target  `json:"target,omitempty"`
	Account *Account `json:"account,omitempty"`
	Group   *Group   `json:"group,omitempty"`
}
