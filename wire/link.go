package wire

import (
	"bytes"
	"context"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs/v2"

	"geraniumpass/head"
	"geraniumpass/proto"
)

const (
	// sendQueueFrames bounds the frames queued for a slow peer. A full queue closes the link; a
	// resume on the next link recovers the lost frames.
	sendQueueFrames = 4096
	// batchBytes is the size at which a batch of frames is sent.
	batchBytes = 64 << 10
	// maxMessageBytes is the size limit of a received message.
	maxMessageBytes = 16 << 20
	// maxHelloBytes is the size limit of a message of a peer that has not authenticated itself.
	maxHelloBytes = 16 << 10
	writeTimeout  = 5 * time.Second
	readTimeout   = 5 * time.Second
)

// sentBytes and receivedBytes count the message payload, and sentFrames the frames, of all links of
// the process.
var (
	sentBytes     = expvar.NewInt("link_bytes_sent")
	receivedBytes = expvar.NewInt("link_bytes_received")
	sentFrames    = expvar.NewInt("link_frames_sent")
)

// ClosedError is returned by Send when the link is closed or its send queue is full.
type ClosedError struct {
	Peer string
}

// Error names the peer.
func (e *ClosedError) Error() string {
	return "link to " + e.Peer + " is closed"
}

// Link is an authenticated connection to one peer; Send is safe for concurrent use.
type Link struct {
	Peer Identity
	conn *websocket.Conn
	out  chan *outgoing
	done chan struct{}
	// writerDone is closed when the writer no longer uses the connection.
	writerDone chan struct{}
	once       sync.Once
	lastSeen   atomic.Int64
	pending    atomic.Int64
}

// Dial opens a link to address, a host and port, and authenticates both sides with key.
func Dial(address string, own Identity, key []byte) (*Link, error) {
	return DialTimeout(handshakeTimeout, address, own, key)
}

// DialTimeout is like Dial with a timeout for each of opening the connection and authenticating.
func DialTimeout(timeout time.Duration, address string, own Identity, key []byte) (*Link, error) {
	d := websocket.Dialer{
		HandshakeTimeout: timeout,
		ReadBufferSize:   16 << 10,
		WriteBufferSize:  16 << 10,
	}
	var checked *head.Conn
	var limit *headLimit
	d.NetDialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		checked = head.NewUpgradeConn(nc)
		limit = newHeadLimit(checked)
		return limit, nil
	}
	c, resp, err := d.Dial("ws://"+address+"/link", nil)
	if err != nil {
		return nil, errs.Wrap(checked.Cause(err))
	}
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	limit.lift()
	return startLink(c, own, key, sideDialled, timeout)
}

// Accept upgrades a request, authenticates both sides and calls fn with the link, which it closes
// when fn returns.
func Accept(ctx *fasthttp.RequestCtx, own Identity, key []byte, fn func(*Link)) error {
	u := websocket.FastHTTPUpgrader{
		ReadBufferSize:  16 << 10,
		WriteBufferSize: 16 << 10,
		CheckOrigin:     func(*fasthttp.RequestCtx) bool { return true },
	}
	marker, ok := ctx.Conn().(phaseMarker)
	if !ok {
		marker = noMarker{}
	}
	return errs.Wrap(u.Upgrade(ctx, func(c *websocket.Conn) {
		marker.MarkHandshake()
		l, err := startLink(c, own, key, sideAccepted, handshakeTimeout)
		if err != nil {
			return
		}
		marker.MarkRunning()
		// The server reuses the connection's memory after this returns, so the writer must have
		// stopped using it.
		defer func() {
			l.Close()
			<-l.writerDone
		}()
		fn(l)
	}))
}

func startLink(c *websocket.Conn, own Identity, key []byte, local side, timeout time.Duration) (*Link, error) {
	c.SetReadLimit(maxHelloBytes)
	peer, err := handshake(c, own, key, local, timeout)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	c.SetReadLimit(maxMessageBytes)
	l := &Link{
		Peer:       peer,
		conn:       c,
		out:        make(chan *outgoing, sendQueueFrames),
		done:       make(chan struct{}),
		writerDone: make(chan struct{}),
	}
	l.lastSeen.Store(time.Now().UnixNano())
	go l.write()
	return l, nil
}

// Send queues a frame. It fails with a *ClosedError when the link is closed or its queue is full; a
// full queue closes the link.
func (l *Link) Send(f *proto.Frame) error {
	return l.queue(&outgoing{frame: f})
}

// SendEncoded is like Send with a frame that proto.Encode has encoded. The bytes must not be changed
// afterwards, so that a frame for many links is encoded once.
func (l *Link) SendEncoded(encoded []byte) error {
	return l.queue(&outgoing{encoded: encoded})
}

func (l *Link) queue(f *outgoing) error {
	select {
	case <-l.done:
		return &ClosedError{Peer: l.Peer.ID}
	default:
	}
	select {
	case l.out <- f:
		l.pending.Add(1)
		return nil
	case <-l.done:
		return &ClosedError{Peer: l.Peer.ID}
	default:
		l.Close()
		return &ClosedError{Peer: l.Peer.ID}
	}
}

// Receive calls fn for each received frame until the link is closed. A peer silent for readTimeout
// (5 s) closes it.
func (l *Link) Receive(fn func(*proto.Frame)) error {
	defer l.Close()
	for {
		_ = l.conn.SetReadDeadline(time.Now().Add(readTimeout))
		_, message, err := l.conn.ReadMessage()
		if err != nil {
			return errs.Wrap(err)
		}
		l.lastSeen.Store(time.Now().UnixNano())
		receivedBytes.Add(int64(len(message)))
		err = proto.Decode(message, func(f *proto.Frame) error {
			fn(f)
			return nil
		})
		if err != nil {
			return err
		}
	}
}

// SinceLastReceive returns the time since the last message from the peer.
func (l *Link) SinceLastReceive() time.Duration {
	return time.Since(time.Unix(0, l.lastSeen.Load()))
}

// Done returns a channel that is closed when the link is closed.
func (l *Link) Done() <-chan struct{} {
	return l.done
}

// Flush waits until every frame queued so far has been written to the network, or until timeout.
func (l *Link) Flush(timeout time.Duration) {
	end := time.Now().Add(timeout)
	for l.pending.Load() > 0 && time.Now().Before(end) {
		select {
		case <-l.done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Close closes the link.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

func (l *Link) write() {
	defer close(l.writerDone)
	defer l.Close()
	var buf bytes.Buffer
	for {
		var n int64
		select {
		case <-l.done:
			return
		case f := <-l.out:
			buf.Reset()
			var err error
			if n, err = l.batch(&buf, f); err != nil {
				return
			}
		}
		_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := l.conn.WriteMessage(websocket.BinaryMessage, buf.Bytes()); err != nil {
			return
		}
		sentBytes.Add(int64(buf.Len()))
		sentFrames.Add(n)
		l.pending.Add(-n)
	}
}

// batch encodes f and all frames already queued, up to batchBytes, so that a burst costs one write,
// and returns the number of frames.
func (l *Link) batch(buf *bytes.Buffer, f *outgoing) (int64, error) {
	for n := int64(1); ; n++ {
		if err := f.appendTo(buf); err != nil {
			return n, err
		}
		if buf.Len() >= batchBytes {
			return n, nil
		}
		select {
		case f = <-l.out:
		default:
			return n, nil
		}
	}
}
