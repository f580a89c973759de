package core

// Prompt is one message of a chat completion.
type Prompt struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}
