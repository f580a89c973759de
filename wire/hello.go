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
	nonceSize        = 16
	handshakeTimeout = 5 * time.Second
)

// The roles that a link's peer may have; a link of RoleExchange carries only the configuration.
const (
	RoleEntry    = "entry"
	RoleAgent    = "agent"
	RoleExchange = "exchange"
)

// Identity names a process and its incarnation, which is drawn anew at every start.
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

// AuthError is returned when the other side does not prove that it holds the link key.
type AuthError struct {
	Peer string
}

// Error names the peer that failed the proof.
func (e *AuthError) Error() string {
	return "link peer " + e.Peer + " did not prove the link key"
}

// NewIncarnation draws a random incarnation number.
func NewIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) >> 1
}

// side is the end of a link that a proof is of; without it one end's proof could be sent back to it as the other's.
type side byte

const (
	sideDialled  side = 'd'
	sideAccepted side = 'a'
)

func (s side) other() side {
	if s == sideDialled {
		return sideAccepted
	}
	return sideDialled
}

func proof(key, nonce []byte, who Identity, of side) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte{byte(of)})
	m.Write(nonce)
	m.Write([]byte(who.Role + "|" + who.ID + "|" + who.Domain))
	_ = binary.Write(m, binary.BigEndian, who.Incarnation)
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

// shake runs the mutual proof: both send a nonce, then both answer the other's nonce.
func shake(c *websocket.Conn, own Identity, key []byte, mine side) (Identity, error) {
	deadline := time.Now().Add(handshakeTimeout)
	_ = c.SetReadDeadline(deadline)
	_ = c.SetWriteDeadline(deadline)
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	if err := sendHello(c, hello{Identity: own, Nonce: nonce}); err != nil {
		return Identity{}, err
	}
	peer, err := readHello(c)
	if err != nil {
		return Identity{}, err
	}
	if err := sendHello(c, hello{Identity: own, Proof: proof(key, peer.Nonce, own, mine)}); err != nil {
		return Identity{}, err
	}
	answer, err := readHello(c)
	if err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(answer.Proof, proof(key, nonce, answer.Identity, mine.other())) || answer.Identity != peer.Identity {
		return Identity{}, &AuthError{Peer: peer.Identity.ID}
	}
	_ = c.SetReadDeadline(time.Time{})
	_ = c.SetWriteDeadline(time.Time{})
	return answer.Identity, nil
}
