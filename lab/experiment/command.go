package experiment

import (
	"io"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

// Names of the files that a run writes.
const (
	tableFile = "report.txt"
	jsonFile  = "report.json"
	plotFile  = "report.png"
)

// Command is "run EXPERIMENT.yaml".
func Command() *cobra.Command {
	var folder string
	command := &cobra.Command{
		Use:   "run EXPERIMENT.yaml",
		Short: "Compare routing policies in virtual time",
		Long: "Runs an experiment in virtual time and prints its table. With --out it also writes the table,\n" +
			"the report as JSON and a plot into a folder. The same file gives the same report.",
		Args:         cobra.ExactArgs(1),
		SilenceUsage: true,
		RunE: func(command *cobra.Command, arguments []string) error {
			config, err := LoadConfig(arguments[0])
			if err != nil {
				return err
			}
			report, err := Run(config)
			if err != nil {
				return err
			}
			if err := report.WriteTable(command.OutOrStdout()); err != nil {
				return err
			}
			return report.save(folder)
		},
	}
	command.Flags().StringVar(&folder, "out", "", "folder for report.txt, report.json and report.png")
	return command
}

// save writes the files of a report; without a folder, none.
func (r *Report) save(folder string) error {
	if folder == "" {
		return nil
	}
	const folderMode = 0o755
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return merry.Prependf(err, "make the report's folder")
	}
	files := []struct {
		name  string
		write func(io.Writer) error
	}{
		{tableFile, r.WriteTable},
		{jsonFile, r.WriteJSON},
		{plotFile, r.WritePNG},
	}
	for _, file := range files {
		if err := writeFile(filepath.Join(folder, file.name), file.write); err != nil {
			return merry.Prependf(err, "write the report")
		}
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return merry.Wrap(err)
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return merry.Prependf(err, "write %s", path)
	}
	return merry.Wrap(file.Close())
}
