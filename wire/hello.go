package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/zeebo/errs/v2"

	"geraniumpass/proto"
)

const (
	nonceBytes       = 16
	handshakeTimeout = 5 * time.Second
)

// Roles of a link's peer. A link with RoleExchange only carries configuration.
const (
	RoleEntry    = "entry"
	RoleAgent    = "agent"
	RoleExchange = "exchange"
)

// Identity identifies a process and its incarnation, a random number drawn at every start.
type Identity struct {
	ID          string `cbor:"1,keyasint"`
	Role        string `cbor:"2,keyasint"`
	Domain      string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
}

type hello struct {
	Identity Identity `cbor:"1,keyasint"`
	Nonce    []byte   `cbor:"2,keyasint"`
	Proof    []byte   `cbor:"3,keyasint,omitempty"`
}

// AuthError is returned when the peer does not prove that it holds the link key.
type AuthError struct {
	Peer string
}

// Error names the peer that failed authentication.
func (e *AuthError) Error() string {
	return "link peer " + e.Peer + " failed link key authentication"
}

// NewIncarnation returns a random incarnation number.
func NewIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) >> 1
}

// side is the end of a link that computed a proof. Including it in the proof prevents reflecting
// one end's proof back to it.
type side byte

const (
	sideDialled  side = 'd'
	sideAccepted side = 'a'
)

func (s side) opposite() side {
	if s == sideDialled {
		return sideAccepted
	}
	return sideDialled
}

func proof(key, nonce []byte, identity Identity, from side) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte{byte(from)})
	m.Write(nonce)
	m.Write([]byte(identity.Role + "|" + identity.ID + "|" + identity.Domain))
	_ = binary.Write(m, binary.BigEndian, identity.Incarnation)
	return m.Sum(nil)
}

func sendHello(c *websocket.Conn, h hello) error {
	b, err := proto.Marshal(h)
	if err != nil {
		return errs.Wrap(err)
	}
	return errs.Wrap(c.WriteMessage(websocket.BinaryMessage, b))
}

func readHello(c *websocket.Conn) (hello, error) {
	var h hello
	_, b, err := c.ReadMessage()
	if err != nil {
		return h, errs.Wrap(err)
	}
	return h, errs.Wrap(proto.Unmarshal(b, &h))
}

// handshake authenticates both sides: each sends a nonce, then answers the other's nonce with an
// HMAC under the link key.
func handshake(c *websocket.Conn, own Identity, key []byte, local side, timeout time.Duration) (Identity, error) {
	deadline := time.Now().Add(timeout)
	_ = c.SetReadDeadline(deadline)
	_ = c.SetWriteDeadline(deadline)
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	if err := sendHello(c, hello{Identity: own, Nonce: nonce}); err != nil {
		return Identity{}, err
	}
	peer, err := readHello(c)
	if err != nil {
		return Identity{}, err
	}
	if err := sendHello(c, hello{Identity: own, Proof: proof(key, peer.Nonce, own, local)}); err != nil {
		return Identity{}, err
	}
	answer, err := readHello(c)
	if err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(answer.Proof, proof(key, nonce, answer.Identity, local.opposite())) || answer.Identity != peer.Identity {
		return Identity{}, &AuthError{Peer: peer.Identity.ID}
	}
	_ = c.SetReadDeadline(time.Time{})
	_ = c.SetWriteDeadline(time.Time{})
	return answer.Identity, nil
}
