package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/quarantine"
)

// TestCrashRecordsKeepTheirTries guards against tries that gateways can't count together, since
// the message lacks a part of them.
func TestCrashRecordsKeepTheirTries(t *testing.T) {
	record := quarantine.Record{
		Fingerprint: quarantine.FingerprintOf([]byte("request")), Suspicion: quarantine.Suspicion{Crashes: 1, Suspected: 2},
		IsResolved: true, Remaining: time.Minute, ClearedAgo: time.Second,
		Tries: []quarantine.Try{
			{Send: 1, Instance: "i-1", SentAgo: 3 * time.Millisecond, EndedAgo: 2 * time.Millisecond, RanAfter: time.Microsecond, SeenAfter: time.Millisecond, IsCrash: true},
			{Send: 2, Instance: "i-2", SentAgo: time.Millisecond, EndedAgo: -time.Second, RanAfter: 2 * time.Second, SeenAfter: time.Hour},
		},
	}
	received, err := crashRecordFromWire(crashRecordToWire(record))
	assert.NilError(t, err)
	assert.DeepEqual(t, received, record)
}
