package limit_test

import (
	"fmt"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

func ExampleRetryBudget() {
	now := time.Unix(1000, 0)
	budget := limit.NewRetryBudget(limit.RetryPolicy{Ratio: 0.1, Burst: 20}, now)
	for range 20 {
		budget.RecordAttempt("tenant-a", now)
	}
	fmt.Println(budget.TryRetry("tenant-a", now), budget.TryRetry("tenant-a", now), budget.TryRetry("tenant-a", now))
	// Output: true true false
}
