package setup

// Limits bounds the machine resources that a process uses.
type Limits struct {
	MemoryMB int `json:"memory_mb" validate:"min=0"`
}
