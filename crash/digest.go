package crash

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// digestSize is the length of a digest in bytes, long enough to make collisions infeasible.
const digestSize = 16

// segmentLabel precedes the ID of a prompt segment, so that no request has the same hash input.
const segmentLabel = "prompt segment:"

// Digest identifies a request or a prompt segment by its content; it is the same at every entry and
// for every retry, and doesn't reveal the content.
type Digest [digestSize]byte

// Request holds the parts of a request that determine its Digest.
type Request struct {
	Method string
	Host   string
	// URI is the path and query as received.
	URI string
	// Account is the name of the client account, or the caller's API key if there is no account.
	Account string
	Body    []byte
}

// Hasher computes digests with a key shared by all entries; it is safe for concurrent use.
type Hasher struct {
	key []byte
}

// NewHasher returns a hasher that uses key, which the caller must not modify afterwards.
func NewHasher(key []byte) *Hasher {
	return &Hasher{key: key}
}

// Digest returns the digest of a request.
func (h *Hasher) Digest(r Request) Digest {
	mac := hmac.New(sha256.New, h.key)
	for _, part := range []string{r.Method, strings.ToLower(r.Host), r.URI, r.Account} {
		// Length prefixes keep requests distinct whose concatenated parts are equal.
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

// Segment returns the digest of a prompt segment. It doesn't depend on the rest of the request.
func (h *Hasher) Segment(id string) Digest {
	mac := hmac.New(sha256.New, h.key)
	mac.Write([]byte(segmentLabel))
	mac.Write([]byte(id))
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

// UnmarshalText parses a hexadecimal digest and returns a *DigestError if it is malformed.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != digestSize {
		return &DigestError{Got: string(text)}
	}
	copy(d[:], b)
	return nil
}
