package main

import (
	"fmt"
	"os"
	"time"

	"geraniumpass/platform/soak"
)

const (
	platformEvents      = 60
	platformPause       = 250 * time.Millisecond
	platformMaxDuration = 2500 * time.Millisecond
	platformCallers     = 16
)

// platformRound runs one seed of the platform's roles; the logs are kept if it fails.
func platformRound(binary string, seed uint64) error {
	dir, err := os.MkdirTemp("", "geraniumpass-soak-")
	if err != nil {
		return err
	}
	report, err := soak.Run(soak.Options{
		Seed:    seed,
		Binary:  binary,
		Dir:     dir,
		Events:  platformEvents,
		Pause:   platformPause,
		Longest: platformMaxDuration,
		Callers: platformCallers,
	})
	if err != nil {
		fmt.Println("logs are kept in", dir)
		return err
	}
	fmt.Printf("seed %d: %v; %d map switches\n", seed, report.Answers, report.Switches)
	return os.RemoveAll(dir)
}
