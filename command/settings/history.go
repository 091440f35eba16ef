package settings

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
	"cardamomward/io/operatorapi"
)

// HistoryOptions are the options of settings history.
type HistoryOptions struct {
	cmdutil.OperatorOptions
}

// NewCmdHistory returns the command that lists the versions of the settings.
func NewCmdHistory(f *cmdutil.Factory, runF func(context.Context, *HistoryOptions) error) *cli.Command {
	opts := &HistoryOptions{OperatorOptions: cmdutil.OperatorOptions{Factory: f}}

	return &cli.Command{
		Name:        "history",
		Usage:       "list the latest versions of the settings, oldest first",
		Description: cmdutil.FormatExamples("cardamomward settings history --operator 127.0.0.1:7002"),
		Flags:       opts.Flags(),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if runF != nil {
				return runF(ctx, opts)
			}

			return historyRun(ctx, opts)
		},
	}
}

func historyRun(ctx context.Context, opts *HistoryOptions) error {
	history, err := opts.OperatorClient().ListSettingsVersions(ctx)
	if err != nil {
		return err
	}
	header := cmdutil.Row{"version", "base", "author", "bytes"}

	return cmdutil.PrintResult(&opts.OperatorOptions, history, header, func(h operatorapi.SettingsHistory) []cmdutil.Row {
		rows := make([]cmdutil.Row, 0, len(h.Versions))
		for _, v := range h.Versions {
			rows = append(rows, cmdutil.Row{fmt.Sprint(v.Version), fmt.Sprint(v.BaseVersion), v.Author, fmt.Sprint(v.DocumentBytes)})
		}

		return rows
	})
}
