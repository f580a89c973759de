package stand

// Fault is the way in which a stand-in misbehaves until it is set back.
type Fault struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Delay holds every call up for this many milliseconds.
	Delay int `json:"delay"`
	// LoseAnswers carries writes out and then closes the connection without an answer.
	LoseAnswers bool `json:"lose_answers"`
	// LoseNext is LoseAnswers for this many writes.
	LoseNext int `json:"lose_next"`
	// Stale makes the instance list show its rows as they were when the fault began.
	Stale bool `json:"stale"`
}
