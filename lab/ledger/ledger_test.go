package ledger_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/ledger"
)

func TestLedgerKeepsTheNewest(t *testing.T) {
	l := ledger.New(3)
	for number := uint64(1); number <= 5; number++ {
		assert.Equal(t, l.Append(ledger.Entry{Outcome: ledger.Running}), number)
	}
	l.Update(2, func(*ledger.Entry) { t.Error("entry 2 was dropped") })
	l.Update(4, func(entry *ledger.Entry) { entry.Outcome = ledger.Done })
	for _, test := range []struct {
		after uint64
		want  []uint64
	}{{0, []uint64{3, 4, 5}}, {2, []uint64{3, 4, 5}}, {3, []uint64{4, 5}}, {5, nil}, {9, nil}} {
		var numbers []uint64
		for _, entry := range l.After(test.after) {
			numbers = append(numbers, entry.Number)
			assert.Equal(t, entry.Outcome == ledger.Done, entry.Number == 4)
		}
		assert.DeepEqual(t, numbers, test.want)
	}
}

func TestLedgerIsServedAsLines(t *testing.T) {
	l := ledger.New(0)
	l.Append(ledger.Entry{Kind: ledger.Cancel})
	l.Append(ledger.Entry{Kind: ledger.Completion, RequestID: "r1"})
	answer := httptest.NewRecorder()
	l.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/ledger?after=1", nil))
	lines := bufio.NewScanner(answer.Body)
	assert.Assert(t, lines.Scan())
	var entry ledger.Entry
	assert.NilError(t, json.Unmarshal(lines.Bytes(), &entry))
	assert.Equal(t, entry.RequestID, "r1")
	assert.Assert(t, !lines.Scan())

	answer = httptest.NewRecorder()
	l.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/ledger?after=x", nil))
	assert.Equal(t, answer.Code, http.StatusBadRequest)
}
