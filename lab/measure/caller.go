package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/lab/deployment"
)

const budgetTokens = 1 << 40

// maxLine bounds one line of a stream.
const maxLine = 1 << 20

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens uint64        `json:"max_tokens"`
}

type programRequest struct {
	Model        string `json:"model"`
	BudgetTokens uint64 `json:"budget_tokens"`
}

func send(ctx context.Context, method, url string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+deployment.APIKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 != 2 {
		defer response.Body.Close()
		content, _ := io.ReadAll(response.Body)
		return nil, merry.Errorf("%s %s: %s: %s", method, url, response.Status, bytes.TrimSpace(content))
	}
	return response, nil
}

func createProgram(ctx context.Context, address string) (string, error) {
	response, err := send(ctx, http.MethodPost, address+"/v1/programs", programRequest{
		Model: deployment.ModelName, BudgetTokens: budgetTokens,
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var created struct {
		ID string `json:"id"`
	}
	err = json.NewDecoder(response.Body).Decode(&created)
	return created.ID, err
}

func endProgram(ctx context.Context, address, id string) error {
	response, err := send(ctx, http.MethodDelete, address+"/v1/programs/"+id, nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// streamTurn sends one turn and returns the time to the end and to the first
// text.
func streamTurn(ctx context.Context, address, id, text string, outputTokens uint64) (whole, first time.Duration, err error) {
	began := time.Now()
	response, err := send(ctx, http.MethodPost, address+"/v1/programs/"+id+"/chat/completions", chatRequest{
		Model: deployment.ModelName, Messages: []chatMessage{{Role: "user", Content: text}}, Stream: true, MaxTokens: outputTokens,
	})
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		if first == 0 {
			first = time.Since(began)
		}
		if strings.TrimSpace(data) == "[DONE]" {
			return time.Since(began), first, nil
		}
	}
	return 0, 0, merry.Errorf("the stream ended without [DONE]: %v", lines.Err())
}
