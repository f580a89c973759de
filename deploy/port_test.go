package deploy

import (
	"os/exec"
	"sync"
	"testing"
)

// TestPortIsFreeWhileProcessesStart guards against a process that can't listen at the address it is given,
// exits and serves nobody: the check of the port left its listener to another process that was being
// started, which holds it until it executes its program.
func TestPortIsFreeWhileProcessesStart(t *testing.T) {
	const (
		starters = 4
		checks   = 2000
	)
	address, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	// The first start in a Go process also forks to probe the kernel, without the lock of other starts.
	if err := exec.Command("true").Run(); err != nil {
		t.Fatal(err)
	}
	var starting sync.WaitGroup
	done := make(chan struct{})
	for range starters {
		starting.Go(func() { startProcesses(t, done) })
	}
	failed := 0
	for range checks {
		if !isFree(address) {
			failed++
		}
	}
	close(done)
	starting.Wait()
	if failed > 0 {
		t.Errorf("port in use in %d of %d checks, though nothing listens there", failed, checks)
	}
}

// startProcesses starts one process after another until done is closed.
func startProcesses(t *testing.T, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		if err := exec.Command("true").Run(); err != nil {
			t.Error(err)
			return
		}
	}
}
