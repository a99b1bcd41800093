package limit_test

import (
	"fmt"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

func ExampleAdmission() {
	now := time.Unix(1000, 0)
	point := limit.NewAdmission(time.Minute)
	point.SetCapacity("engine-a", limit.Capacity{MaxTokens: 10_000, TokensPerSecond: 5000})

	first := limit.Reservation{Engine: "engine-a", RequestID: "1", PromptTokens: 8000, OutputTokens: 500}
	fmt.Println(point.Reserve(first, now).Admitted)
	second := limit.Reservation{Engine: "engine-a", RequestID: "2", PromptTokens: 4000, OutputTokens: 500}
	verdict := point.Reserve(second, now)
	fmt.Println(verdict.Admitted, verdict.RetryAfter)
	point.Release("engine-a", "1")
	fmt.Println(point.Reserve(second, now).Admitted)
	// Output:
	// true
	// false 600ms
	// true
}

func ExampleRetryBudget() {
	now := time.Unix(1000, 0)
	budget := limit.NewRetryBudget(limit.RetryPolicy{Ratio: 0.1, Burst: 20}, now)
	for range 20 {
		budget.Attempted("tenant-a", now)
	}
	fmt.Println(budget.Retry("tenant-a", now), budget.Retry("tenant-a", now), budget.Retry("tenant-a", now))
	// Output: true true false
}
