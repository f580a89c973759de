package setup

// Log is the form of the log.
type Log struct {
	Level string `json:"level" validate:"omitempty,oneof=trace debug info warn error"`
	JSON  bool   `json:"json"`
}
