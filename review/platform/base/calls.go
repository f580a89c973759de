package base

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Calls sends calls that may run once, over channels that clients keep, and notes how they end.
type Calls struct {
	Record *Record
	Host   string
	Path   string
	Key    string
	// Budget is how long clients wait for an answer.
	Budget time.Duration

	next atomic.Int64

	mu      sync.Mutex
	results map[string]int
	// lost are the calls whose kept channel was closed without an answer, by attempt.
	lost []string
}

// Channel is a client's connection to a gateway.
type Channel struct {
	conn    net.Conn
	reader  *bufio.Reader
	answers int
}

// Dial opens a channel to a gateway, or returns nil.
func (c *Calls) Dial(g *Gateway) *Channel {
	conn, err := net.DialTimeout("tcp4", g.Front, time.Second)
	if err != nil {
		return nil
	}
	return &Channel{
		conn:   conn,
		reader: bufio.NewReader(conn),
	}
}

// Close closes the channel.
func (ch *Channel) Close() {
	if ch != nil {
		_ = ch.conn.Close()
	}
}

// Exchange sends a call, its body of size bytes evenly over a time, and reads its answer. It reports
// whether the channel can be kept.
func (c *Calls) Exchange(ch *Channel, client, size int, over time.Duration) bool {
	id := fmt.Sprintf("c%d-%d", client, c.next.Add(1))
	sent := time.Now()
	_ = ch.conn.SetDeadline(sent.Add(c.Budget))
	_, err := fmt.Fprintf(ch.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\nContent-Length: %d\r\n\r\n",
		c.Path, c.Host, id, c.Budget.Milliseconds(), c.Key, size)
	if err == nil {
		err = sendBody(ch.conn, size, over)
	}
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(ch.reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		c.count(id, size, "no answer", sent, ch.answers > 0)
		return false
	}
	ch.answers++
	c.count(id, size, strconv.Itoa(resp.StatusCode), sent, false)
	return !resp.Close
}

// bodyParts is how many parts of a body are sent, evenly over its time.
const bodyParts = 40

func sendBody(conn net.Conn, size int, over time.Duration) error {
	body := make([]byte, size)
	if over == 0 {
		_, err := conn.Write(body)
		return err
	}
	start := time.Now()
	for i := range bodyParts {
		if _, err := conn.Write(body[size*i/bodyParts : size*(i+1)/bodyParts]); err != nil {
			return err
		}
		time.Sleep(time.Until(start.Add(over * time.Duration(i+1) / bodyParts)))
	}
	return nil
}

// count notes how a call ended; keptLost is set if a kept channel was closed without an answer.
func (c *Calls) count(id string, size int, result string, sent time.Time, keptLost bool) {
	c.Record.PrintfAt(sent, "call %s with %d bytes: %s after %d ms", id, size, result, time.Since(sent).Milliseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.results == nil {
		c.results = make(map[string]int)
	}
	c.results[result]++
	if keptLost {
		c.lost = append(c.lost, id)
	}
}

// LostAtSound writes what the servers ran and how the calls ended, and returns how many calls reached a sound
// server and ended with a kept channel that was closed without an answer.
func (c *Calls) LostAtSound(upstreams []*Upstream) int {
	for _, u := range upstreams {
		for _, r := range u.Runs() {
			c.Record.PrintfAt(r.At, "server %s runs %s for %s", u.ID, r.Attempt, r.Tenant)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := 0
	for _, id := range c.lost {
		for _, u := range upstreams {
			if u.Arrived(id) && !u.IsFaulty() {
				lost++
				c.Record.Printf("call %s reached %s, and its kept channel was closed without an answer", id, u.ID)
			}
		}
	}
	c.Record.Printf("calls by result: %v", c.results)
	return lost
}
