package stand

import (
	"fmt"
	"strings"
)

// Head is the head of a response, up to the field that frames its body.
type Head struct {
	Name string
	Raw  string
}

// interimHeads are interim responses, each with its end.
const interimHeads = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

// MalformedHeads returns heads that aren't valid HTTP/1, with the given lines of fields, each of which ends with CRLF.
func MalformedHeads(fields string) []Head {
	return append(malformedStatusLines(fields), malformedFields(fields)...)
}

func malformedStatusLines(fields string) []Head {
	var lines []string
	for _, status := range []int{0, 1, 42, 99, 101, 600, 666, 700, 999} {
		lines = append(lines, fmt.Sprintf("HTTP/1.1 %03d Status", status))
	}
	lines = append(lines,
		"HTTP/1.1 000", "HTTP/1.0 000 Status", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK",
		"HTTP/1.1 2x0 OK", "HTTP/1.1 OK", "HTTP/1.1", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", "ICY 200 OK", "",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x1b[2JK", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK",
	)
	var heads []Head
	for _, line := range lines {
		heads = append(heads, Head{
			Name: fmt.Sprintf("%q", line),
			Raw:  line + "\r\n" + fields,
		})
	}
	// The bytes that follow look like a response, which a reader that skips the head takes for the response.
	for _, status := range []string{"000 Status", "042 Status", "101 Switching Protocols"} {
		heads = append(heads, Head{
			Name: status + " before a response",
			Raw:  "HTTP/1.1 " + status + "\r\n" + fields + "\r\nHTTP/1.1 200 OK\r\n" + fields,
		})
	}
	return heads
}

func malformedFields(fields string) []Head {
	const ok = "HTTP/1.1 200 OK\r\n"
	lines := []string{
		"X Blank: v", "X-Blank : v", "X-Tab\t: v", "X\tTab: v", ": v", "no colon", "X-Blank :",
		"Content-Length : 3", "Transfer-Encoding : chunked", "Content Length: 3",
		"X-V: a\x00b", "X-V: a\x01b", "X-V: a\x1b[2Jb", "X-V: a\x7fb", "X-V: a\rb", "X-V: a\r\n \x00b",
	}
	for _, c := range "\x00\x01\x07\x08\x0b\x0c\x1b\x1f\x7f\"(),/;<=>?@[\\]{}" {
		lines = append(lines, "X"+string(c)+"Y: v")
	}
	lines = append(lines, "X\x80Y: v", "X\xffY: v", "X\xc3\xa9Y: v", "X\rY: v", "\rX: v")
	var heads []Head
	for _, line := range lines {
		heads = append(heads,
			Head{
				Name: fmt.Sprintf("%q", line),
				Raw:  ok + fields + line + "\r\n",
			},
			Head{
				Name: fmt.Sprintf("%q, first", line),
				Raw:  ok + line + "\r\n" + fields,
			},
		)
	}
	return append(heads,
		Head{Name: "folded first line", Raw: ok + " X-Folded: v\r\n" + fields},
		Head{Name: "folded first line without a name", Raw: ok + " : v\r\n" + fields},
		Head{Name: "after an interim response", Raw: interimHeads + ok + fields + "X Blank: v\r\n"},
		Head{Name: "in an interim response", Raw: "HTTP/1.1 103 Early Hints\r\nX Blank: v\r\n\r\n" + ok + fields},
		Head{Name: "after 3 KiB", Raw: ok + fields + "X-Large: " + strings.Repeat("v", 3<<10) + "\r\nX Blank: v\r\n"},
		Head{Name: "coding in HTTP/1.0", Raw: "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n"},
	)
}

// UnusualHeads returns heads that are valid but rare, with the given lines of fields, each of which ends with CRLF.
func UnusualHeads(fields string) []Head {
	const ok = "HTTP/1.1 200 OK\r\n"
	return []Head{
		{Name: "no reason", Raw: "HTTP/1.1 200 \r\n" + fields},
		{Name: "no reason, no blank", Raw: "HTTP/1.1 200\r\n" + fields},
		{Name: "unknown reason", Raw: "HTTP/1.1 200 All is (well): \"so\" \xe9\t!\r\n" + fields},
		{Name: "HTTP/1.2", Raw: "HTTP/1.2 200 OK\r\n" + fields},
		{Name: "HTTP/1.9", Raw: "HTTP/1.9 200 OK\r\n" + fields},
		{Name: "other case", Raw: ok + fields + "x-lower: v\r\nX-UPPER: v\r\n"},
		{Name: "empty value", Raw: ok + fields + "X-Empty:\r\nX-Blanks:  \t \r\n"},
		{Name: "no blank after the colon", Raw: ok + fields + "X-V:v\r\n"},
		{Name: "blanks after the value", Raw: ok + fields + "X-V: v \t\r\n"},
		{Name: "unusual name", Raw: ok + fields + "!#$%&'*+-.^_`|~09azAZ: v\r\n"},
		{Name: "unusual value", Raw: ok + fields + "X-V: \"a\\b\" (c) : \xe9\xff\t{}\r\n"},
		{Name: "folded", Raw: ok + fields + "X-Folded: a\r\n b\r\n\tc: d\r\n"},
		{Name: "the same field twice", Raw: ok + fields + "X-V: v\r\nX-V: v\r\n"},
		{Name: "interim responses", Raw: interimHeads + ok + fields},
	}
}
