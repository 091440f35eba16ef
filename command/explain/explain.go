package explain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/core/logfilter"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// ExplainOptions are the options of explain.
type ExplainOptions struct {
	Factory   *cmdutil.Factory
	RequestID string
	Files     []string
}

// NewCmdExplain returns the command that prints the log lines related to a request.
func NewCmdExplain(f *cmdutil.Factory, runF func(context.Context, *ExplainOptions) error) *cli.Command {
	opts := &ExplainOptions{Factory: f}

	return &cli.Command{
		Name:        "explain",
		Usage:       "show the path of a request through the logs of all hosts, given one file for each host",
		ArgsUsage:   "REQUEST FILE...",
		Description: cmdutil.FormatExamples("cardamomward explain be58c97905eafad2 logs/*.log"),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			opts.RequestID, opts.Files = cmd.Args().First(), cmd.Args().Tail()
			if opts.RequestID == "" || len(opts.Files) == 0 {
				return cmdutil.NewUsageError("give a request's id and the log files of the hosts; see %s --help", cmd.FullName())
			}
			if runF != nil {
				return runF(ctx, opts)
			}

			return explainRun(opts)
		},
	}
}

func explainRun(opts *ExplainOptions) error {
	var lines []logfilter.Line
	for _, name := range opts.Files {
		file, err := os.Open(name) //nolint:gosec // the user gives the file names
		if err != nil {
			return cmdutil.NewUsageError("%v", err)
		}
		fileLines, err := readLines(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
		lines = append(lines, fileLines...)
	}
	selected := logfilter.SelectByRequest(lines, opts.RequestID)
	if len(selected) == 0 {
		return cmdutil.NewUsageError("none of the %d files has a line about request %s; give the logs of all hosts that cover the time of the request", len(opts.Files), opts.RequestID)
	}
	for _, line := range selected {
		fmt.Fprintf(opts.Factory.IOStreams.Out, "%s  %s\n", line.Source, line.Text)
	}

	return nil
}

func readLines(source string, r io.Reader) ([]logfilter.Line, error) {
	var lines []logfilter.Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := logfilter.ParseLine(source, scanner.Text()); ok {
			lines = append(lines, line)
		}
	}

	return lines, scanner.Err()
}
