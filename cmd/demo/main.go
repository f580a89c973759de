package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs/v2"

	"geraniumpass/deploy"
)

func main() {
	app := kingpin.New("demo", "Demonstrates a whole deployment on the loopback interface.")
	binary := app.Flag("binary", "Path of the geraniumpass binary.").Required().ExistingFile()
	plan := app.Flag("plan", "Deployment to run.").Default("examples/reverbline.json").ExistingFile()
	duration := app.Flag("lasts", "How long callers send requests.").Default("10s").Duration()
	keep := app.Flag("keep", "Keep the deployment running until interrupted.").Envar("KEEP").Bool()
	logs := app.Flag("logs", "Folder for the settings and logs of every process; a temporary one if omitted.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*binary, *plan, *logs, *duration, *keep); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(binary, file, dir string, duration time.Duration, keep bool) error {
	plan, err := deploy.Load(file)
	if err != nil {
		return err
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "geraniumpass-demo-"); err != nil {
			return errs.Wrap(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	fmt.Printf("starting %s: %d entries in %d failure domains\n", plan.Name, plan.Entries, len(plan.Domains))
	started := time.Now()
	d, err := deploy.Start(plan, deploy.Options{
		Binary: binary,
		Dir:    dir,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	fmt.Printf("up after %s: %d agents in front of %d engines and %d plain services\n\n", time.Since(started).Round(time.Millisecond), len(d.Agents), len(d.Engines), len(d.Plains))
	s := newDemonstration(d)
	s.run(duration)
	ok := s.report()
	if keep {
		waitForInterrupt(d)
	}
	if failed := d.Stop(); len(failed) > 0 {
		fmt.Println("did not stop cleanly:", failed)
		ok = false
	}
	if !ok {
		return errs.Errorf("demo failed: requests lost, duplicated, cut or wrong, steps on mixed expert maps, or an unclean stop")
	}
	fmt.Println("no request was lost, duplicated or cut; all processes have stopped")
	return nil
}

func waitForInterrupt(d *deploy.Deployment) {
	e := d.Entries[0]
	fmt.Printf(`
The deployment stays up. Try, in another terminal:

  export GERANIUMPASS_ENTRY=%s GERANIUMPASS_OPERATOR_KEY=%s
  bin/geraniumpass status
  bin/geraniumpass class list
  bin/geraniumpass target set lookup --measure first_token --within 250ms
  bin/geraniumpass audit
  curl -N http://%s/v1/completions -H 'Authorization: Bearer key-engineering' \
    -d '{"model":"geranium-lm","prompt":"reverberation of hall 7","max_tokens":20,"stream":true}'

End it with ctrl-c.
`, e.Control, d.Operator(0).Key, e.Listen)
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	<-ch
}
