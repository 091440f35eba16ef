package dev

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/command/cmdutil"
)

// curlCommandPattern captures the URL, the authorization and the body of the printed curl command.
var curlCommandPattern = regexp.MustCompile(`curl -N (http://\S+) -H 'Authorization: (Bearer \S+)' -H 'Content-Type: application/json' -d '(.*)'`)

func TestPrintedCurlCommandStreamsAnswer(t *testing.T) {
	reader, writer := io.Pipe()
	f := cmdutil.NewFactory()
	f.IOStreams = cmdutil.IOStreams{Out: writer, Err: io.Discard}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		err := NewCmdDev(f, nil).Run(ctx, []string{"dev", "--workspace", "roadline"})
		_ = writer.Close()
		ended <- err
	}()
	var lines []string
	scanner := bufio.NewScanner(reader)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
		if strings.HasPrefix(scanner.Text(), "stop it") {
			break
		}
	}
	text := strings.Join(lines, "\n")
	require.Contains(t, text, "host-3 in domain-a: callers at 127.0.0.1:")
	require.Contains(t, text, "engine repair-1 at 127.0.0.1:")
	require.Contains(t, text, "service dispatch-1 at 127.0.0.1:")
	sent := curlCommandPattern.FindStringSubmatch(text)
	require.NotNil(t, sent, text)

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, sent[1], strings.NewReader(sent[3]))
	require.NoError(t, err)
	req.Header.Set("Authorization", sent[2])
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
	require.Contains(t, string(body), "data: [DONE]")

	cancel()
	require.NoError(t, <-ended)
}

func TestUnknownWorkspaceIsNotFound(t *testing.T) {
	f := cmdutil.NewFactory()
	f.IOStreams = cmdutil.IOStreams{Out: io.Discard, Err: io.Discard}
	err := NewCmdDev(f, nil).Run(t.Context(), []string{"dev", "--workspace", "nobody"})
	require.Equal(t, cmdutil.ExitNotFound, cmdutil.ExitCodeFor(err))
}
