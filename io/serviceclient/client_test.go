package serviceclient_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"cardamomward/io/serviceclient"
	"cardamomward/platform/standin"
)

// newClient returns a client of a service that responds to each request with a text.
func newClient(t *testing.T, text string) *serviceclient.Client {
	t.Helper()
	server, err := standin.NewRawServer(standin.RespondWith(text))
	require.NoError(t, err)
	t.Cleanup(server.Close)

	return &serviceclient.Client{Address: server.Address(), HTTPClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

const (
	statusLine = "HTTP/1.1 200 OK\r\n"
	// maxBodyBytes is the limit of a response.
	maxBodyBytes = 4 << 20
)

// A response beyond the limit was cut there and recorded as the outcome of its call, and so was one with a status that is none.
func TestBrokenResponseIsNoOutcome(t *testing.T) {
	tooLarge := strings.Repeat("x", maxBodyBytes+1)
	for name, text := range map[string]string{
		"too large":             statusLine + "\r\n" + tooLarge,
		"too large by its head": statusLine + "Content-Length: " + strconv.Itoa(len(tooLarge)) + "\r\n\r\n" + tooLarge,
		"status 000":            "HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\ndone",
		"space in a name":       statusLine + "Bad Name: x\r\nContent-Length: 4\r\n\r\ndone",
		"cut":                   statusLine + "Content-Length: 9\r\n\r\ndone",
	} {
		t.Run(name, func(t *testing.T) {
			client := newClient(t, text)
			_, err := client.Do(t.Context(), serviceclient.Request{Path: "call"})
			require.True(t, errorx.IsOfType(err, serviceclient.ErrOutcomeUnknown), "%.100v", err)
			_, _, err = client.FetchOutcome(t.Context(), "key")
			require.True(t, errorx.IsOfType(err, serviceclient.ErrOutcomeUnknown), "%.100v", err)
		})
	}
}

func TestLargestResponseIsOutcome(t *testing.T) {
	response, err := newClient(t, statusLine+"\r\n"+strings.Repeat("x", maxBodyBytes)).Do(t.Context(), serviceclient.Request{Path: "call"})
	require.NoError(t, err)
	require.Len(t, response.Body, maxBodyBytes)
}
