package check

import (
	"expvar"
	"fmt"
	"os"
	"sync/atomic"
)

// FatalVariable names the environment variable that makes a violation end the process.
const FatalVariable = "GERANIUMPASS_FATAL_INVARIANTS"

var (
	violations = expvar.NewMap("invariant_violations")
	checked    = expvar.NewMap("invariant_checks")
	fatal      atomic.Bool
)

// SetFatal makes every later violation panic.
func SetFatal(on bool) {
	fatal.Store(on)
}

// FromEnvironment applies FatalVariable and is called first in each program.
func FromEnvironment() {
	if os.Getenv(FatalVariable) != "" {
		SetFatal(true)
	}
}

// Hold counts one evaluation of an invariant and, when ok is false, one violation, which panics with a *Violation in fatal mode.
func Hold(name Name, ok bool, format string, args ...any) {
	checked.Add(string(name), 1)
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

// Violations returns how often the invariant was found broken in this process.
func Violations(name Name) int64 {
	n, ok := violations.Get(string(name)).(*expvar.Int)
	if !ok {
		return 0
	}
	return n.Value()
}
