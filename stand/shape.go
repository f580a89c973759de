package stand

import "geraniumpass/core"

// Choice is one choice of a completion; Text, Message or Delta is set by the kind of call.
type Choice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Message      *core.Prompt `json:"message,omitempty"`
	Delta        *core.Prompt `json:"delta,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

// Completion is an answer, or one event of a streamed answer, in the common shape of completion APIs.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

func whole(id string, req completion, chat bool) Completion {
	text := Text(req.prompt(), req.MaxTokens)
	c := Completion{
		ID:      id,
		Object:  "text_completion",
		Model:   req.Model,
		Choices: []Choice{{Text: text, FinishReason: "length"}},
	}
	if chat {
		c.Object = "chat.completion"
		c.Choices = []Choice{{
			Message: &core.Prompt{
				Role:    "assistant",
				Content: text,
			},
			FinishReason: "length",
		}}
	}
	return c
}

func part(id string, req completion, token string, chat bool) Completion {
	c := Completion{
		ID:      id,
		Object:  "text_completion",
		Model:   req.Model,
		Choices: []Choice{{Text: token}},
	}
	if chat {
		c.Object = "chat.completion.chunk"
		c.Choices = []Choice{{
			Delta: &core.Prompt{
				Role:    "assistant",
				Content: token,
			},
		}}
	}
	return c
}
