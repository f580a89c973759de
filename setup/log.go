package setup

// Log holds the level and format of the log.
type Log struct {
	Level string `json:"level" validate:"omitempty,oneof=trace debug info warn error"`
	JSON  bool   `json:"json"`
}
