package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/strictjson"
)

// maxFileBytes is the largest record file that is read.
const maxFileBytes = 16 << 20

// fileCheck is the result of validating one file.
type fileCheck struct {
	File     string               `json:"file"`
	Name     string               `json:"name,omitempty"`
	Version  uint64               `json:"version,omitempty"`
	Schema   int                  `json:"schema,omitempty"`
	Valid    bool                 `json:"valid"`
	Problems []strictjson.Problem `json:"problems,omitempty"`
}

func validateCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "validate FILE...",
		Short: "Check record files without contacting the platform; - is standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			return withExitCode(validate(cmd, &o, files))
		},
	}
	o.addOutputFlags(cmd)
	return cmd
}

func validate(cmd *cobra.Command, o *options, files []string) error {
	var checks []fileCheck
	invalid := 0
	for _, file := range files {
		check, err := checkFile(cmd, file)
		if err != nil {
			return err
		}
		if !check.Valid {
			invalid++
		}
		checks = append(checks, check)
	}
	if err := printChecks(cmd, o, checks); err != nil {
		return err
	}
	if invalid > 0 {
		return fault.New(fault.ConfigInvalid, "%d of %d files are not valid", invalid, len(files))
	}
	return nil
}

func checkFile(cmd *cobra.Command, file string) (fileCheck, error) {
	data, err := readFile(cmd, file)
	if err != nil {
		return fileCheck{}, err
	}
	check := fileCheck{File: file}
	s, err := config.Decode(data)
	if err == nil {
		check.Name, check.Version, check.Schema, check.Valid = s.Name, s.Version, s.Schema, true
		return check, nil
	}
	var invalid *config.Invalid
	if !errors.As(err, &invalid) {
		return check, err
	}
	check.Name = invalid.Record
	check.Problems = invalid.Problems
	return check, nil
}

func printChecks(cmd *cobra.Command, o *options, checks []fileCheck) error {
	out := cmd.OutOrStdout()
	if o.asJSON {
		return printJSON(out, checks)
	}
	for _, c := range checks {
		if c.Valid {
			_, _ = fmt.Fprintf(out, "%s: valid: record %s, version %d, schema %d\n", c.File, c.Name, c.Version, c.Schema)
		}
		for _, p := range c.Problems {
			_, _ = fmt.Fprintf(out, "%s: record %q: %s\n", c.File, c.Name, p)
		}
	}
	return nil
}

// readFile reads a record file, or standard input if file is "-".
func readFile(cmd *cobra.Command, file string) ([]byte, error) {
	in := cmd.InOrStdin()
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, usageError(err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, usageError(fmt.Errorf("%s: %w", file, err))
	}
	if len(data) > maxFileBytes {
		return nil, usageError(fmt.Errorf("%s: larger than %d bytes: want a file with one record", file, maxFileBytes))
	}
	return data, nil
}

// readRecord reads and validates one record file. It returns the record and the file's
// content.
func readRecord(cmd *cobra.Command, file string) (*config.Service, []byte, error) {
	data, err := readFile(cmd, file)
	if err != nil {
		return nil, nil, err
	}
	s, err := config.Decode(data)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, data, nil
}
