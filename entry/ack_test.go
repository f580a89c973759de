package entry

import (
	"fmt"
	"testing"

	"geraniumpass/proto"
)

// TestAnswersAreAcknowledgedBeforeAgentsWait guards against answers that are never delivered because the agent
// waits for an acknowledgement and the entry for more parts.
func TestAnswersAreAcknowledgedBeforeAgentsWait(t *testing.T) {
	for _, size := range []int{0, 1, 1000, 64 << 10, 1 << 20} {
		t.Run(fmt.Sprintf("parts of %d bytes", size), func(t *testing.T) {
			a := newAttempt(1, nil, &proto.Dispatch{})
			parts, bytes := 0, 0
			for seq := range uint32(500) {
				if parts >= proto.WindowParts || bytes >= proto.WindowBytes {
					t.Fatalf("the agent waits after part %d", seq)
				}
				a.addPart(&proto.Answer{Seq: seq, Data: make([]byte, size)})
				parts, bytes = parts+1, bytes+size
				if a.collect().ack > 0 {
					parts, bytes = 0, 0
				}
			}
		})
	}
}
