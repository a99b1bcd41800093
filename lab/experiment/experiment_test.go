package experiment_test

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/experiment"
)

// smallConfig has all policies and faults in half a minute of virtual arrivals.
func smallConfig() experiment.Config {
	config := experiment.DefaultConfig()
	config.Duration = 30 * time.Second
	config.Warmup = 5 * time.Second
	config.Loads = []float64{0.9}
	for i := range config.Deployments {
		config.Deployments[i].Capacity = 1.5
	}
	return config
}

func reportBytes(t *testing.T, config experiment.Config) (table, text, plot []byte) {
	t.Helper()
	report, err := experiment.Run(config)
	assert.NilError(t, err)
	var outputs [3]bytes.Buffer
	assert.NilError(t, report.WriteTable(&outputs[0]))
	assert.NilError(t, report.WriteJSON(&outputs[1]))
	assert.NilError(t, report.WritePNG(&outputs[2]))
	return outputs[0].Bytes(), outputs[1].Bytes(), outputs[2].Bytes()
}

func TestRunGivesTheSameBytesEveryTime(t *testing.T) {
	config := smallConfig()
	config.Faults = []experiment.Fault{experiment.EngineLost}
	config.Policies = []string{experiment.SessionAffinity, experiment.Marblering}
	config.Parallel = 1
	table, text, plot := reportBytes(t, config)
	config.Parallel = 4
	tableAgain, textAgain, plotAgain := reportBytes(t, config)
	assert.Equal(t, string(table), string(tableAgain))
	assert.Equal(t, string(text), string(textAgain))
	assert.Assert(t, bytes.Equal(plot, plotAgain))
	_, err := png.Decode(bytes.NewReader(plot))
	assert.NilError(t, err)

	config.Seed++
	_, textOther, _ := reportBytes(t, config)
	assert.Assert(t, string(text) != string(textOther), "the seed has no influence")
}

// TestBooksBalance checks what must hold of any result.
func TestBooksBalance(t *testing.T) {
	report, err := experiment.Run(smallConfig())
	assert.NilError(t, err)
	assert.Equal(t, len(report.Results), 2*4*3)
	programs := make(map[string]int)
	for _, result := range report.Results {
		scenario := result.Deployment + string(result.Fault)
		if earlier, seen := programs[scenario]; seen {
			assert.Equal(t, result.Programs, earlier, "policies must be given the same programs")
		}
		programs[scenario] = result.Programs
		assert.Assert(t, result.Programs > 0)
		assert.Assert(t, result.Completed <= result.Programs)
		assert.Assert(t, result.WastedTokens+result.EvictedTokens <= result.ComputedTokens)
		assert.Assert(t, result.ComputedTokens <= result.PromptTokens)
		assert.Assert(t, result.Latency.P50 <= result.Latency.P95 && result.Latency.P95 <= result.Latency.P99)
		assert.Assert(t, result.Fairness > 0 && result.Fairness <= 1.000001)
	}
}

func TestParseConfigNamesTheFault(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown key", "sede: 3", "sede"},
		{"unknown nested key", "deployments: [{name: sofia, wrkload: x}]", "wrkload"},
		{"unknown deployment", "deployments: [{name: plovdiv}]", "plovdiv"},
		{"unknown workload", "deployments: [{name: sofia, workload: chess}]", "chess"},
		{"unknown weights", "deployments: [{name: sofia, workload: incident-bursts, weights: heavy}]", "heavy"},
		{"unknown fault", "faults: [flood]", "flood"},
		{"unknown policy", "policies: [guess]", "guess"},
		{"load", "loads: [-1]", "-1"},
		{"load that is no number", "loads: [.nan]", "NaN"},
		{"capacity", "deployments: [{name: sofia, workload: incident-bursts, capacity_programs_per_second: -2}]", "-2"},
		{"duration", "duration: 400h", "400h"},
		{"warmup", "{duration: 1m, warmup: 2m}", "warmup"},
		{"parallel", "parallel: 99", "99"},
		{"nothing to run", "{loads: [], faults: []}", "nothing to run"},
		{"not YAML", "{", "yaml"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := experiment.ParseConfig([]byte(c.text))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestComparisonFileHoldsTheDefaults(t *testing.T) {
	config, err := experiment.LoadConfig("comparison.yaml")
	assert.NilError(t, err)
	assert.DeepEqual(t, config, experiment.DefaultConfig())
}

func TestCommandWritesTheReport(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "small.yaml")
	text := "duration: 1m\nwarmup: 10s\nloads: [0.5]\nfaults: []\npolicies: [marblering]\n" +
		"deployments: [{name: sofia, workload: incident-bursts, capacity_programs_per_second: 1}]\n"
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	command := experiment.Command()
	var printed bytes.Buffer
	command.SetOut(&printed)
	command.SetArgs([]string{file, "--out", filepath.Join(folder, "out")})
	assert.NilError(t, command.Execute())
	assert.Assert(t, strings.Contains(printed.String(), "marblering"))
	table, err := os.ReadFile(filepath.Join(folder, "out", "report.txt"))
	assert.NilError(t, err)
	assert.Equal(t, string(table), printed.String())
}
