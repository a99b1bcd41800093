package harness

import (
	"os/exec"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// Build builds the binaries of the packages into the folder, with the race
// detector if asked. Call it once from TestMain with a temporary folder; the
// binaries are named after the last elements of the packages' paths.
func Build(folder string, race bool, packages ...string) error {
	arguments := append([]string{"build", "-race=" + strconv.FormatBool(race), "-o", folder + "/"}, packages...)
	output, err := exec.Command("go", arguments...).CombinedOutput()
	if err != nil {
		return merry.Errorf("building %v: %w\n%s", packages, err, output)
	}
	return nil
}
