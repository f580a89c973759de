package stand

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the token that every emulated engine generates at position i after a prompt.
func Token(prompt string, i int) string {
	h := xxhash.Sum64String(prompt + "#" + strconv.Itoa(i))
	return " " + strconv.FormatUint(h%46656, 36)
}

// Text returns the first n tokens after a prompt as one string.
func Text(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
