package demo

import (
	"context"
	"fmt"
	"io"

	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/protocol/callerapi"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model    string    `json:"model"`
	Messages []message `json:"messages"`
}

type completion struct {
	Choices []struct {
		Message message `json:"message"`
	} `json:"choices"`
	Usage struct {
		PromptTokens     uint64 `json:"prompt_tokens"`
		CompletionTokens uint64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens uint64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

type programRequest struct {
	Model        string `json:"model"`
	BudgetTokens uint64 `json:"budget_tokens"`
}

// converse creates a program and runs its turns, each through another node. The
// caller sends its new message only; the system adds the history.
func converse(ctx context.Context, out io.Writer, system *deployment.Deployment) error {
	var created callerapi.Program
	_, err := post(ctx, url(system, 0, "/v1/programs"), programRequest{Model: deployment.ModelName, BudgetTokens: budgetTokens}, &created)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "program %s with a budget of %d tokens\n", created.ID, created.BudgetTokens)
	for index, text := range turns {
		if err := turn(ctx, out, system, created.ID, index, text); err != nil {
			return err
		}
	}
	return nil
}

func url(system *deployment.Deployment, index int, path string) string {
	return "http://" + system.Nodes[index%len(system.Nodes)].CallerAddress() + path
}

func turn(ctx context.Context, out io.Writer, system *deployment.Deployment, id string, index int, text string) error {
	var answer completion
	path := "/v1/programs/" + id + "/chat/completions"
	request := completionRequest{Model: deployment.ModelName, Messages: []message{{Role: "user", Content: text}}}
	header, err := post(ctx, url(system, index, path), request, &answer)
	if err != nil {
		return err
	}
	content := ""
	if len(answer.Choices) > 0 {
		content = answer.Choices[0].Message.Content
	}
	serving := system.Nodes[index%len(system.Nodes)]
	fmt.Fprintf(out, "\nturn %d at %s\n  user:      %s\n  assistant: %s\n", index+1, serving.Name(), text, content)
	fmt.Fprintf(out, "  served by %s (prompt %d tokens, %d of them cached; answer %d tokens)\n",
		header.Get(callerapi.HeaderEngine), answer.Usage.PromptTokens, answer.Usage.Details.CachedTokens,
		answer.Usage.CompletionTokens)
	for _, explained := range serving.Explain(id) {
		fmt.Fprintf(out, "  why: %s\n", explained.Decision.Reason)
	}
	return nil
}
