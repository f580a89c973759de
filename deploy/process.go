package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/zeebo/errs/v2"

	"geraniumpass/check"
)

// Process is one process of the system; the harness restarts it as the platform's supervisor would.
type Process struct {
	ID     string
	Role   string
	Domain string
	// Control is where operators and links reach it, and Listen where callers reach an entry.
	Control string
	Listen  string

	binary string
	file   string
	logDir string
	cmd    *exec.Cmd
	done   chan struct{}
	err    error
}

func (p *Process) start() error {
	log, err := os.OpenFile(filepath.Join(p.logDir, p.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errs.Wrap(err)
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.binary, p.Role, "--config", p.file)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.Env = append(os.Environ(), check.FatalEnvVar+"=1", "GOMAXPROCS=2")
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return errs.Wrap(err)
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		p.err = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// Kill ends the process without warning and waits until it is gone.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze stops the process where it stands.
func (p *Process) Freeze() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// Terminate asks the process to stop gracefully and returns a channel that is closed when it has.
func (p *Process) Terminate() <-chan struct{} {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	return p.done
}

// Running returns true while the process lives.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Err returns how the process ended; call it only after it has.
func (p *Process) Err() error {
	return p.err
}

// PID returns the process's number.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Restart starts the process again after it has ended.
func (p *Process) Restart() error {
	<-p.done
	return p.start()
}

// StopWithin stops the process gracefully and kills it when that takes longer than limit, which it reports as false.
func (p *Process) StopWithin(limit time.Duration) bool {
	select {
	case <-p.Terminate():
		return true
	case <-time.After(limit):
		p.Kill()
		return false
	}
}
