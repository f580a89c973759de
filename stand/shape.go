package stand

import "geraniumpass/core"

// Choice is one choice of a completion; the kind of call determines which of Text, Message and
// Delta is set.
type Choice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Message      *core.Prompt `json:"message,omitempty"`
	Delta        *core.Prompt `json:"delta,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

// Completion is a response, or one event of a streamed response, in the usual format of completion
// APIs.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

func fullCompletion(id string, req completion, chat bool) Completion {
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

func chunk(id string, req completion, token string, chat bool) Completion {
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
