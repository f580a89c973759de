package crash

// DigestError reports that a text is not a valid digest.
type DigestError struct {
	Got string
}

// Error returns a message with the invalid text.
func (e *DigestError) Error() string {
	return "invalid request digest: " + e.Got
}

// StaleError reports that a key was modified concurrently and must be written again.
type StaleError struct {
	Key string
}

// Error returns a message with the key.
func (e *StaleError) Error() string {
	return "key " + e.Key + " was modified concurrently"
}
