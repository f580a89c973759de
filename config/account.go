package config

// Account is a client account; callers prove it with a bearer key of which only the SHA-256 is kept.
type Account struct {
	Name      string   `json:"name" validate:"required,max=128"`
	KeySHA256 []string `json:"key_sha256" validate:"min=1,dive,len=64,hexadecimal"`
}
