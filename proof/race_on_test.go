//go:build race

package proof

// raceFlag builds the processes under test with the race detector when the tests have it.
const raceFlag = "-race"
