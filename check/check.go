package check

import (
	"expvar"
	"fmt"
	"os"
	"sync/atomic"
)

// FatalEnvVar is the environment variable that, if set, makes an invariant violation panic.
const FatalEnvVar = "GERANIUMPASS_FATAL_INVARIANTS"

var (
	violations  = expvar.NewMap("invariant_violations")
	evaluations = expvar.NewMap("invariant_checks")
	fatal       atomic.Bool
)

// SetFatal sets whether later violations panic.
func SetFatal(on bool) {
	fatal.Store(on)
}

// ConfigureFromEnvironment enables fatal mode if FatalEnvVar is set; programs call it before
// anything else.
func ConfigureFromEnvironment() {
	if os.Getenv(FatalEnvVar) != "" {
		SetFatal(true)
	}
}

// Assert counts an evaluation of an invariant and, if ok is false, a violation, which panics with a
// *Violation in fatal mode.
func Assert(name Name, ok bool, format string, args ...any) {
	evaluations.Add(string(name), 1)
	if ok {
		return
	}
	violations.Add(string(name), 1)
	v := &Violation{
		Name:   name,
		Detail: fmt.Sprintf(format, args...),
	}
	fmt.Fprintln(os.Stderr, v.Error())
	if fatal.Load() {
		panic(v)
	}
}

// Violations returns the number of violations of the invariant in this process.
func Violations(name Name) int64 {
	n, ok := violations.Get(string(name)).(*expvar.Int)
	if !ok {
		return 0
	}
	return n.Value()
}
