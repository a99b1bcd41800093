package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"github.com/marblering/marblering/lab/deployment"
)

const (
	createConcurrency = 16
	programBudget     = 1 << 30
)

// createPrograms creates programs of one turn each, spread over the nodes.
func createPrograms(ctx context.Context, callers []string, count int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(createConcurrency)
	for index := range count {
		group.Go(func() error {
			address := "http://" + callers[index%len(callers)]
			return createProgram(ctx, address, index)
		})
	}
	return group.Wait()
}

type createRequest struct {
	Model        string `json:"model"`
	BudgetTokens uint64 `json:"budget_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type callRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens uint64    `json:"max_tokens"`
}

func createProgram(ctx context.Context, address string, index int) error {
	var created struct {
		ID string `json:"id"`
	}
	if err := post(ctx, address+"/v1/programs", createRequest{deployment.ModelName, programBudget}, &created); err != nil {
		return err
	}
	call := callRequest{deployment.ModelName, []message{{"user", fmt.Sprintf("program %d", index)}}, 4}
	return post(ctx, address+"/v1/programs/"+created.ID+"/chat/completions", call, &struct{}{})
}

func post(ctx context.Context, url string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+deployment.APIKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return merry.Errorf("POST %s: %s: %s", url, response.Status, content)
	}
	return json.Unmarshal(content, answer)
}
