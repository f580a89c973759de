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
	app := kingpin.New("soak", "Injects random faults into a deployment and checks its invariants.")
	binary := app.Flag("binary", "Path of the geraniumpass binary.").Required().ExistingFile()
	file := app.Flag("plan", "Deployment to run.").Default("examples/reverbline.json").String()
	duration := app.Flag("lasts", "How long to run.").Default("10m").Envar("LASTS").Duration()
	seed := app.Flag("seed", "Seed of the first round; random if omitted.").Default("0").Uint64()
	onPlatform := app.Flag("platform", "Test the platform's roles instead of those of a deployment.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *seed == 0 {
		*seed = rand.Uint64()
	}
	runSeed := func(seed uint64) error { return platformRound(*binary, seed) }
	if !*onPlatform {
		plan, err := deploy.Load(*file)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		runSeed = func(seed uint64) error { return runRound(*binary, plan, seed) }
	}
	err := runRounds(runSeed, *seed, time.Now().Add(*duration))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runRounds runs rounds until the deadline, each on a fresh deployment with the next seed.
func runRounds(runSeed func(seed uint64) error, seed uint64, deadline time.Time) error {
	for ; time.Now().Before(deadline); seed++ {
		if err := runSeed(seed); err != nil {
			return err
		}
	}
	return nil
}

func runRound(binary string, plan *deploy.Plan, seed uint64) error {
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
	fmt.Printf("  %v; %d changes accepted; recovered %s after the last fault\n", report.Verdicts, report.Accepted, report.RecoveryTime.Round(time.Millisecond))
	return os.RemoveAll(dir)
}
