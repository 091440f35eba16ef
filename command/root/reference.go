package root

import (
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"cardamomward/command/cmdutil"
)

const referenceHeader = `# Commands

This page is written from the commands' own definitions; each command says the same with --help.
HOST is a host's name or its operator address. The address in --operator may be that of any host, and
the environment variable ` + "`" + cmdutil.OperatorAddressEnvVar + "`" + ` sets it for all commands. With --json, commands
print JSON with the same content.

Exit codes: %d done, %d failed, %d a mistake in flags, arguments or files, %d the settings have changed
meanwhile, %d no host or no log answered, %d there is no such thing.
`

// WriteCommandReference writes all commands with their flags and examples as Markdown.
func WriteCommandReference(w io.Writer, root *cli.Command) error {
	var b strings.Builder
	fmt.Fprintf(&b, referenceHeader, cmdutil.ExitOK, cmdutil.ExitFailure, cmdutil.ExitUsage, cmdutil.ExitConflict,
		cmdutil.ExitUnreachable, cmdutil.ExitNotFound)
	for _, cmd := range root.Commands {
		writeCommand(&b, cmd, root.Name)
	}
	_, err := io.WriteString(w, b.String())

	return err
}

func writeCommand(b *strings.Builder, cmd *cli.Command, parent string) {
	name := parent + " " + cmd.Name
	// A command that only groups others has no flags.
	if len(cmd.Commands) == 0 || len(cmd.Flags) > 0 {
		writeEntry(b, cmd, name)
	}
	for _, sub := range cmd.Commands {
		writeCommand(b, sub, name)
	}
}

func writeEntry(b *strings.Builder, cmd *cli.Command, name string) {
	fmt.Fprintf(b, "\n## %s\n\n%s\n", strings.TrimSpace(name+" "+cmd.ArgsUsage), cmd.Usage)
	if len(cmd.Flags) > 0 {
		b.WriteString("\n")
	}
	for _, flag := range cmd.Flags {
		writeFlag(b, flag)
	}
	if cmd.Description != "" {
		fmt.Fprintf(b, "\n```\n%s\n```\n", cmd.Description)
	}
}

func writeFlag(b *strings.Builder, flag cli.Flag) {
	documented, ok := flag.(cli.DocGenerationFlag)
	if !ok {
		return
	}
	fmt.Fprintf(b, "- `--%s`: %s", flag.Names()[0], documented.GetUsage())
	if text := documented.GetDefaultText(); documented.IsDefaultVisible() && text != "" && text != `""` && text != "false" && text != "0" {
		fmt.Fprintf(b, " (default %s)", text)
	}
	if required, ok := flag.(cli.RequiredFlag); ok && required.IsRequired() {
		b.WriteString(" (required)")
	}
	b.WriteString("\n")
}
