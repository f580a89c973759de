package nest

import "fmt"

// ListError reports a list of JSON that has too many items. A short item takes many times as much memory decoded as
// encoded.
type ListError struct {
	Limit int
}

// Error returns a message with the limit.
func (e *ListError) Error() string {
	return fmt.Sprintf("list has over %d items", e.Limit)
}

// UnmarshalList decodes a list of JSON into v like Unmarshal. It fails with a *ListError before it decodes one of more
// than limit items.
func UnmarshalList(data []byte, limit int, v any) error {
	if countItems(data) > limit {
		return &ListError{Limit: limit}
	}
	return Unmarshal(data, v)
}

// countItems returns the number of items of a list, or one more if it is empty.
func countItems(data []byte) int {
	var s scanner
	items := 1
	for i, c := range data {
		if c == ',' && s.depth == 1 && !s.inString {
			items++
		}
		if _, err := s.scan(data[i : i+1]); err != nil {
			return items
		}
	}
	return items
}
