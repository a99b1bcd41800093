package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEachPairOnce: every ordered pair of troubles stands beside each state of the
// store, under a name and a seed of its own.
func TestEachPairOnce(t *testing.T) {
	names, contents := map[string]bool{}, map[string]bool{}
	for _, one := range storageDays() {
		names[one.name] = true
		contents[one.content] = true
		assert.Equal(t, strings.Count(one.content, "at = "), strings.Count(one.content, "kind = ")-1, one.content)
	}
	assert.Equal(t, len(names), 6*6*3)
	assert.Equal(t, len(contents), 6*6*3)
}

// TestEachTroubleOfTenantsAloneAndInPairs under names and seeds of their own.
func TestEachTroubleOfTenantsAloneAndInPairs(t *testing.T) {
	names, contents := map[string]bool{}, map[string]bool{}
	for _, one := range tenantDays() {
		names[one.name] = true
		contents[one.content] = true
		assert.Equal(t, strings.Count(one.content, "at = "), strings.Count(one.content, "kind = ")-1, one.content)
	}
	assert.Equal(t, len(names), 10+10*9/2)
	assert.Equal(t, len(contents), len(names))
}
