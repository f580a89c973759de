//go:build race

package proof

// raceFlag builds the processes under test with the race detector if the tests run with it.
const raceFlag = "-race"
