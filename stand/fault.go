package stand

// Fault is a fault injected into a stand-in until it is replaced by the zero Fault.
type Fault struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// Delay delays every call by this many milliseconds.
	Delay int `json:"delay"`
	// LoseAnswers executes writes and then closes the connection without a response.
	LoseAnswers bool `json:"lose_answers"`
	// LoseNext does the same as LoseAnswers for this many writes.
	LoseNext int `json:"lose_next"`
	// Stale makes the instance list return its rows as of the start of the fault.
	Stale bool `json:"stale"`
}
