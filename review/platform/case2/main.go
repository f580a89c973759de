// Command case2 shows what happens when one part of the prompts crashes the servers at a quiet hour, when each
// gateway gets only a few requests a minute.
package main

import (
	"fmt"
	"os"
	"time"

	"geraniumpass/review/platform/kit"
)

func main() {
	p := &kit.Parts{
		Gateways:   9,
		Servers:    12,
		SoundEvery: 900 * time.Millisecond,
		FatalEvery: 2500 * time.Millisecond,
		FatalFrom:  20 * time.Second,
		Length:     85 * time.Second,
		SoundPrefix: func(i int) string {
			return fmt.Sprintf("a%d:40,%x:674", i%6, 0x10000+i)
		},
		FatalPrefix: func(i int) string {
			return fmt.Sprintf("a%d:40,%s:200,%x:474", i%6, kit.FatalPart, 0x20000+i)
		},
	}
	os.Exit(p.Run(os.Args[1], os.Args[2], os.Args[3]))
}
