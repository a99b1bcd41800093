package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/result"
)

func TestMissingEntryErrors(t *testing.T) {
	cases := []struct {
		entry     missingEntry
		isCertain bool
		code      result.Code
		delay     time.Duration
		message   string
	}{
		{missingRoute, true, result.UnknownRoute, 0, "version 7 has no route for this host and path"},
		{missingRoute, false, result.NotReady, 150 * time.Millisecond, "the configuration may be out of date"},
		{missingKey, true, result.Unauthenticated, 0, "version 7 has no tenant with this key"},
		{missingKey, false, result.NotReady, 150 * time.Millisecond, "the key is unknown, and the configuration may be out of date"},
	}
	for _, c := range cases {
		failure := c.entry.toError(7, c.isCertain)
		assert.Equal(t, failure.Code, c.code)
		assert.Equal(t, failure.RetryAfter, c.delay)
		assert.Equal(t, failure.Message, c.message)
	}
}

func TestFreshnessCheck(t *testing.T) {
	cases := []struct {
		name      string
		freshness freshness
		// message is empty where keys are accepted.
		message string
	}{
		{"no limit", freshness{staleness: time.Hour, isKnown: true}, ""},
		{"no limit, never known", freshness{}, ""},
		{"within the limit", freshness{staleness: time.Second, isKnown: true, limit: time.Second}, ""},
		{"beyond the limit", freshness{staleness: 1500400 * time.Microsecond, isKnown: true, limit: time.Second},
			"the configuration was last known to be the newest 1.5s ago, through a test"},
		{"never known", freshness{limit: time.Second}, "nothing shows yet that the configuration is the newest"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			failure := c.freshness.check(func() string { return "a test" })
			if c.message == "" {
				assert.Assert(t, failure == nil)
				return
			}
			assert.Equal(t, failure.Code, result.ConfigurationStale)
			assert.Equal(t, failure.RetryAfter, 400*time.Millisecond)
			assert.Equal(t, failure.Message, c.message)
		})
	}
}
