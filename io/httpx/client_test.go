package httpx_test

import (
	"net/http"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"cardamomward/io/httpx"
	"cardamomward/platform/standin"
)

// A status below 200 counted as a success.
func TestMalformedResponseIsNoSuccess(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 None\r\n", "HTTP/1.1 101 Switching Protocols\r\n", "HTTP/1.1 600 None\r\n", "HTTP/1.1 200 OK\r\nBad Name: x\r\n",
	} {
		t.Run(head, func(t *testing.T) {
			server, err := standin.NewRawServer(standin.RespondWith(head + "Content-Length: 2\r\n\r\n{}"))
			require.NoError(t, err)
			t.Cleanup(server.Close)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			err = httpx.SendJSON(t.Context(), client, http.MethodPost, "http://"+server.Address(), struct{}{}, nil)
			require.True(t, errorx.IsOfType(err, httpx.ErrNoResponse), "%v", err)
		})
	}
}
