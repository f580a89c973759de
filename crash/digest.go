package crash

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// digestSize is the length of a digest in bytes: long enough that nobody finds two requests with the same one.
const digestSize = 16

// Digest identifies a request by what its caller sent, the same at every entry and each time that it comes; it tells nothing of the content.
type Digest [digestSize]byte

// Request is what makes a request the same one when it comes again.
type Request struct {
	Method string
	Host   string
	// URI is the path with its query as it came.
	URI string
	// Account is the client account's name, or the caller's key where it has none.
	Account string
	Body    []byte
}

// Hasher computes digests under a key that all entries share; it is safe for use by several goroutines.
type Hasher struct {
	key []byte
}

// NewHasher returns a hasher with a key, which is not kept by the caller.
func NewHasher(key []byte) *Hasher {
	return &Hasher{key: key}
}

// Digest returns the digest of a request.
func (h *Hasher) Digest(r Request) Digest {
	mac := hmac.New(sha256.New, h.key)
	for _, part := range []string{r.Method, strings.ToLower(r.Host), r.URI, r.Account} {
		// Lengths keep two requests apart whose parts are the same when written one after the other.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		mac.Write(size[:])
		mac.Write([]byte(part))
	}
	mac.Write(r.Body)
	var d Digest
	copy(d[:], mac.Sum(nil))
	return d
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads a digest in hexadecimal and fails with a *DigestError.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != digestSize {
		return &DigestError{Got: string(text)}
	}
	copy(d[:], b)
	return nil
}
