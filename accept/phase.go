package accept

// phase is what a connection is doing.
type phase uint8

const (
	// phaseWaiting is the time until a request has been received: as a whole, or its head if the server
	// reads bodies later. It includes the time between requests.
	phaseWaiting phase = iota
	// phaseReading is the time in which the body of a request is read.
	phaseReading
	// phaseHandshake is the time until the peer of a link has authenticated itself.
	phaseHandshake
	// phaseRunning is the time in which a request runs or is answered, or a link is open.
	phaseRunning
	// phaseRefused is the time in which a refusal reaches the client.
	phaseRefused
)
