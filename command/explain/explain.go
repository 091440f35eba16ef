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

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// ExplainOptions are the options of explain.
type ExplainOptions struct {
	Factory *cmdutil.Factory
	Request string
	Files   []string
}

// NewCmdExplain returns the command that shows the path of a request.
func NewCmdExplain(f *cmdutil.Factory, runF func(context.Context, *ExplainOptions) error) *cli.Command {
	opts := &ExplainOptions{Factory: f}

	return &cli.Command{
		Name:        "explain",
		Usage:       "show the path of a request through the logs of all hosts, given one file for each host",
		ArgsUsage:   "REQUEST FILE...",
		Description: cmdutil.Example("cardamomward explain be58c97905eafad2 logs/*.log"),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			opts.Request, opts.Files = cmd.Args().First(), cmd.Args().Tail()
			if opts.Request == "" || len(opts.Files) == 0 {
				return cmdutil.Usage("give a request's id and the log files of the hosts; see %s --help", cmd.FullName())
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
		file, err := os.Open(name) //nolint:gosec // the caller names the files
		if err != nil {
			return cmdutil.Usage("%v", err)
		}
		read, err := readLines(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), file)
		if closing := file.Close(); err == nil {
			err = closing
		}
		if err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
		lines = append(lines, read...)
	}
	path := logfilter.SelectByRequest(lines, opts.Request)
	if len(path) == 0 {
		return cmdutil.Usage("no line of %d files names request %s; are the logs of all hosts there, and of that time?", len(opts.Files), opts.Request)
	}
	for _, line := range path {
		fmt.Fprintf(opts.Factory.IOStreams.Out, "%s  %s\n", line.Source, line.Text)
	}

	return nil
}

func readLines(source string, r io.Reader) ([]logfilter.Line, error) {
	var lines []logfilter.Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := logfilter.ParseLine(source, scanner.Text()); ok {
			lines = append(lines, line)
		}
	}

	return lines, scanner.Err()
}
