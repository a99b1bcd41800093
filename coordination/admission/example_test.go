package admission_test

import (
	"fmt"
	"time"

	"github.com/marblering/marblering/coordination/admission"
)

func ExampleController() {
	now := time.Unix(1000, 0)
	point := admission.NewController(time.Minute)
	point.SetCapacity("engine-a", admission.Capacity{MaxTokens: 10_000, TokensPerSecond: 5000})

	first := admission.Reservation{Engine: "engine-a", RequestID: "1", PromptTokens: 8000, OutputTokens: 500}
	fmt.Println(point.Reserve(first, now).Admitted)
	second := admission.Reservation{Engine: "engine-a", RequestID: "2", PromptTokens: 4000, OutputTokens: 500}
	verdict := point.Reserve(second, now)
	fmt.Println(verdict.Admitted, verdict.RetryAfter)
	point.Release("engine-a", "1")
	fmt.Println(point.Reserve(second, now).Admitted)
	// Output:
	// true
	// false 600ms
	// true
}
