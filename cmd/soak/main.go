package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"geraniumpass/chaos"
	"geraniumpass/deploy"
)

const roundEvents = 20

func main() {
	app := kingpin.New("soak", "Breaks a whole deployment at random and checks what must always hold.")
	binary := app.Flag("binary", "The geraniumpass program.").Required().ExistingFile()
	file := app.Flag("plan", "Deployment to run.").Default("examples/reverbline.json").String()
	lasts := app.Flag("lasts", "How long to go on.").Default("10m").Envar("LASTS").Duration()
	seed := app.Flag("seed", "Seed of the first round; drawn when left out.").Default("0").Uint64()
	onPlatform := app.Flag("platform", "Run the platform's roles instead of a deployment's.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *seed == 0 {
		*seed = rand.Uint64()
	}
	play := func(seed uint64) error { return platformRound(*binary, seed) }
	if !*onPlatform {
		plan, err := deploy.Load(*file)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		play = func(seed uint64) error { return round(*binary, plan, seed) }
	}
	err := rounds(play, *seed, time.Now().Add(*lasts))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// rounds plays rounds of events, each on a fresh deployment with the next seed.
func rounds(play func(seed uint64) error, seed uint64, end time.Time) error {
	for ; time.Now().Before(end); seed++ {
		if err := play(seed); err != nil {
			return err
		}
	}
	return nil
}

func round(binary string, plan *deploy.Plan, seed uint64) error {
	dir, err := os.MkdirTemp("", "geraniumpass-soak-")
	if err != nil {
		return err
	}
	d, err := deploy.Start(plan, deploy.Options{
		Binary: binary,
		Dir:    dir,
		Relays: true,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	fmt.Printf("round with seed %d\n", seed)
	report, err := chaos.Run(d, chaos.Options{
		Seed:    seed,
		Events:  roundEvents,
		Pause:   time.Second,
		Callers: 24,
	})
	if err != nil {
		fmt.Println("logs are kept in", dir)
		return err
	}
	fmt.Printf("  %v; %d changes accepted; whole again %s after the last harm\n", report.Verdicts, report.Accepted, report.Healed.Round(time.Millisecond))
	return os.RemoveAll(dir)
}
