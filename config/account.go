package config

// Account is a client account, which callers authenticate for with a bearer key. Only the SHA-256
// of a key is stored.
type Account struct {
	Name      string   `json:"name" validate:"required,max=128"`
	KeySHA256 []string `json:"key_sha256" validate:"min=1,dive,len=64,hexadecimal"`
}
