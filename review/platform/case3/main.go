// Command case3 shows what happens when the part that crashes the servers stands first in prompts of many
// parts, as those of long sessions are.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"geraniumpass/review/platform/kit"
)

// turns is the number of shared parts after the first one.
const turns = 18

// conversation returns the shared parts after the first one and the request's own part.
func conversation(i, own int) string {
	var b strings.Builder
	for n := range turns {
		fmt.Fprintf(&b, ",c%d%02d:30", i%6, n)
	}
	fmt.Fprintf(&b, ",%x:134", own+i)
	return b.String()
}

func main() {
	p := &kit.Parts{
		Gateways:   3,
		Servers:    12,
		SoundEvery: 50 * time.Millisecond,
		FatalEvery: 2 * time.Second,
		FatalFrom:  15 * time.Second,
		Length:     60 * time.Second,
		SoundPrefix: func(i int) string {
			return fmt.Sprintf("a%d:40", i%6) + conversation(i, 0x100000)
		},
		FatalPrefix: func(i int) string {
			return kit.FatalPart + ":40" + conversation(i, 0x200000)
		},
	}
	os.Exit(p.Run(os.Args[1], os.Args[2], os.Args[3]))
}
