package setup

// Limits bounds the machine resources that a process uses; zero stands for no setting.
type Limits struct {
	MemoryMB int `json:"memory_mb" validate:"min=0"`
	// MaxFiles is the number of files and connections that the process may have open.
	MaxFiles int `json:"max_files" validate:"min=0"`
}
