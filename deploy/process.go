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

// Process is one process of the system, which a harness can restart as the platform's supervisor
// would.
type Process struct {
	ID     string
	Role   string
	Domain string
	// Control is the address for operators and links, and Listen an entry's address for callers.
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

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Suspend pauses the process with SIGSTOP.
func (p *Process) Suspend() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a suspended process.
func (p *Process) Resume() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// Terminate sends SIGTERM and returns a channel that is closed when the process has exited.
func (p *Process) Terminate() <-chan struct{} {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	return p.done
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Err returns the exit error of the process. It must be called only after the process has exited.
func (p *Process) Err() error {
	return p.err
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Restart waits for the process to exit and starts it again.
func (p *Process) Restart() error {
	<-p.done
	return p.start()
}

// StopWithin terminates the process, kills it if it has not exited within limit, and reports
// whether it exited in time.
func (p *Process) StopWithin(limit time.Duration) bool {
	select {
	case <-p.Terminate():
		return true
	case <-time.After(limit):
		p.Kill()
		return false
	}
}
