//go:build !race

package proof

const raceFlag = "-race=false"
