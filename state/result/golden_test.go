package result_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"text/tabwriter"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/marblering/marblering/state/result"
)

// TestCodesMatchGoldenFile guards the public result codes against accidental changes.
// Run go test ./state/result -update to rewrite testdata/codes.golden.
func TestCodesMatchGoldenFile(t *testing.T) {
	var page strings.Builder
	table := tabwriter.NewWriter(&page, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NUMBER\tNAME\tHTTP\tEXECUTION\tREPEAT\tMEANING")
	for _, info := range result.Table {
		number, err := json.Marshal(info.Code)
		assert.NilError(t, err)
		execution, err := json.Marshal(info.Execution)
		assert.NilError(t, err)
		repeat, err := json.Marshal(info.Repeat)
		assert.NilError(t, err)
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", number, info.Name, info.HTTP, execution, repeat, info.Meaning)
	}
	assert.NilError(t, table.Flush())
	golden.Assert(t, page.String(), "codes.golden")
}
