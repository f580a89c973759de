package accept

import "bytes"

const (
	// lineBytes is what a field of a head takes besides its bytes: an entry of a map, a list and two strings.
	lineBytes = 160
	// headFactor is what a head takes over its bytes: lines are read into growing buffers and then copied.
	headFactor = 3
	// growthFactor is what a body takes that is read into a growing buffer, over its bytes.
	growthFactor = 2
)

// intake counts what was received of a request before its handler.
type intake struct {
	head  int64
	lines int64
	body  int64
	// started is set once the request line has begun, whole once the head has ended.
	started bool
	whole   bool
	// lineEmpty is set while the current line has no bytes.
	lineEmpty bool
}

// add counts received bytes.
func (i *intake) add(p []byte) {
	if i.whole {
		i.body += int64(len(p))
		return
	}
	for len(p) > 0 && !i.whole {
		end := bytes.IndexByte(p, '\n')
		line := p
		if end >= 0 {
			line = p[:end]
		}
		if len(bytes.TrimRight(line, "\r")) > 0 {
			i.started = true
			i.lineEmpty = false
		}
		if end < 0 {
			i.head += int64(len(p))
			return
		}
		i.head += int64(end + 1)
		i.lines++
		i.whole = i.started && i.lineEmpty
		i.lineEmpty = true
		p = p[end+1:]
	}
	i.body += int64(len(p))
}

// cost returns the bytes of memory that the request takes.
func (i *intake) cost() int64 {
	return headFactor*i.head + i.lines*lineBytes + growthFactor*i.body
}
