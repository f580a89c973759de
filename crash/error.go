package crash

// DigestError says that a text is no digest.
type DigestError struct {
	Got string
}

// Error names the text.
func (e *DigestError) Error() string {
	return "no digest of a request: " + e.Got
}

// StaleError says that a key had changed and is to be written again.
type StaleError struct {
	Key string
}

// Error names the key.
func (e *StaleError) Error() string {
	return "key " + e.Key + " had changed"
}
