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
	app := kingpin.New("demo", "Shows a whole deployment at work on the loopback interface.")
	binary := app.Flag("binary", "The geraniumpass program.").Required().ExistingFile()
	plan := app.Flag("plan", "Deployment to run.").Default("examples/reverbline.json").ExistingFile()
	lasts := app.Flag("lasts", "How long callers send.").Default("10s").Duration()
	keep := app.Flag("keep", "Leave the deployment up until interrupted.").Envar("KEEP").Bool()
	logs := app.Flag("logs", "Folder that keeps the settings and logs of every process; a temporary one when left out.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*binary, *plan, *logs, *lasts, *keep); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(binary, file, dir string, lasts time.Duration, keep bool) error {
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
	fmt.Printf("up after %s: %d agents before %d engines and %d plain services\n\n", time.Since(started).Round(time.Millisecond), len(d.Agents), len(d.Engines), len(d.Plains))
	s := newShow(d)
	s.run(lasts)
	ok := s.report()
	if keep {
		hold(d)
	}
	if bad := d.Stop(); len(bad) > 0 {
		fmt.Println("did not stop cleanly:", bad)
		ok = false
	}
	if !ok {
		return errs.Errorf("something was lost, doubled, cut or wrong")
	}
	fmt.Println("nothing was lost, doubled or cut; every process has stopped")
	return nil
}

func hold(d *deploy.Deployment) {
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
