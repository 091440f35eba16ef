package main

import (
	"bytes"
	"errors"
	"net/http"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/standin/engine"
)

func TestEngineCrashExitsProcess(t *testing.T) {
	p := startCommand(t, "standin", "engine", "--crash-exits")
	address := p.address(t)
	put, err := http.NewRequest(http.MethodPut, "http://"+address+"/v1/faults", bytes.NewBufferString(`{"crash-on": "poison"}`))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(put)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	chat := bytes.NewBufferString(`{"messages": [{"role": "user", "content": "poison"}]}`)
	resp, err = http.Post("http://"+address+"/v1/chat/completions", "application/json", chat)
	if err == nil {
		resp.Body.Close()
	}
	var exit *exec.ExitError
	require.True(t, errors.As(<-p.done, &exit))
	require.Equal(t, engine.CrashExitCode, exit.ExitCode())
}
