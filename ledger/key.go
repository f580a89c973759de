package ledger

import "strconv"

// Session identifies one incarnation of an entry.
type Session struct {
	Entry       string
	Incarnation uint64
}

// Key identifies one attempt by the entry's session and its attempt number.
type Key struct {
	Session Session
	N       uint64
}

// String returns the key as entry/incarnation/number for logs.
func (k Key) String() string {
	return k.Session.Entry + "/" + strconv.FormatUint(k.Session.Incarnation, 36) + "/" + strconv.FormatUint(k.N, 10)
}
