package accept

import (
	"testing"
	"time"
)

// TestRankKeepsRequests guards against connections that are closed before less useful ones, or while their
// requests run.
func TestRankKeepsRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := []struct {
		name string
		conn *Conn
		want usefulness
	}{
		{"refused", &Conn{phase: phaseRefused, since: now}, usefulnessRefused},
		{"new and silent", &Conn{since: ago(2 * time.Second)}, usefulnessUnserved},
		{"just opened", &Conn{since: ago(100 * time.Millisecond)}, usefulnessRecent},
		{"slow head of a served client", &Conn{since: ago(2 * time.Second), served: true, intake: intake{started: true}}, usefulnessUnserved},
		{"idle", &Conn{since: ago(time.Second), served: true}, usefulnessIdle},
		{"silent link", &Conn{phase: phaseHandshake, since: ago(2 * time.Second), served: true}, usefulnessUnserved},
		{"slow body", &Conn{phase: phaseReading, since: ago(2 * time.Second)}, usefulnessBody},
		{"body in progress", &Conn{phase: phaseReading, since: ago(100 * time.Millisecond)}, usefulnessKept},
		{"running", &Conn{phase: phaseRunning, since: ago(time.Hour)}, usefulnessKept},
		{"slow answer", &Conn{phase: phaseRunning, since: ago(time.Hour), writingSince: ago(time.Second)}, usefulnessKept},
		{"unread answer", &Conn{phase: phaseRunning, since: ago(time.Hour), writingSince: ago(6 * time.Second)}, usefulnessStalled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, _ := tt.conn.rank(now); got != tt.want {
				t.Errorf("usefulness %d, want %d", got, tt.want)
			}
		})
	}
}

// TestLimitsFollowTheManifest guards against clients at the limits of a manifest that are closed as late, and
// against others that are never closed.
func TestLimitsFollowTheManifest(t *testing.T) {
	now := time.Unix(100_000, 0)
	large := Limits{HeadBytes: 1 << 20, HeadTime: time.Minute, IdleTime: time.Hour}
	if large.headBytes() < 1<<20 || (Limits{HeadBytes: 100}).headBytes() < minHeadBytes {
		t.Error("a head within the limit is refused")
	}
	tests := []struct {
		name   string
		conn   *Conn
		limits Limits
		age    time.Duration
		want   bool
	}{
		{"head at the least limit", &Conn{}, Limits{}, 9 * time.Second, false},
		{"head without end", &Conn{}, Limits{}, 11 * time.Second, true},
		{"head at a large limit", &Conn{intake: intake{started: true}}, large, time.Minute, false},
		{"head over a large limit", &Conn{intake: intake{started: true}}, large, 2 * time.Minute, true},
		{"idle", &Conn{served: true}, Limits{IdleTime: 15 * time.Second}, time.Minute, false},
		{"idle within a large limit", &Conn{served: true}, large, 50 * time.Minute, false},
		{"idle for too long", &Conn{served: true}, Limits{}, 6 * time.Minute, true},
		{"empty lines of a new client", &Conn{intake: intake{head: 10}}, Limits{}, 11 * time.Second, true},
		{"silent link", &Conn{phase: phaseHandshake, served: true}, Limits{}, 11 * time.Second, true},
		{"body that stops", &Conn{phase: phaseReading}, Limits{}, 2 * time.Minute, true},
		{"running", &Conn{phase: phaseRunning}, Limits{}, 24 * time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.conn.since = now.Add(-tt.age)
			if got := tt.conn.isLate(now, tt.limits); got != tt.want {
				t.Errorf("late %v, want %v", got, tt.want)
			}
		})
	}
}
