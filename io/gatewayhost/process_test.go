package gatewayhost_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/gatewaysettings"
	"cardamomward/io/gatewayhost"
	"cardamomward/platform"
)

// hostProcessVariable holds the settings of a host that the test binary is to run instead of tests, and gatewaySettingsVariable those of
// its optional parts, if any.
const (
	hostProcessVariable     = "GATEWAYHOST_TEST_PROCESS"
	gatewaySettingsVariable = "GATEWAYHOST_TEST_SETTINGS"
)

func TestMain(m *testing.M) {
	if settings := os.Getenv(hostProcessVariable); settings != "" {
		runHostProcess(settings)

		return
	}
	os.Exit(m.Run())
}

// runHostProcess runs a host until it has drained after SIGTERM.
func runHostProcess(encoded string) {
	settings := &platform.HostSettings{}
	if err := json.Unmarshal([]byte(encoded), settings); err != nil {
		panic(err)
	}
	logger := funcr.New(func(_, args string) {
		fmt.Fprintf(os.Stdout, "%s %s\n", time.Now().Format(logTimeFormat), args)
	}, funcr.Options{Verbosity: 1})
	gatewayhost.LimitMemory(settings.MemoryBytes)
	host := gatewayhost.New(settings, logger, time.Now)
	if encoded := os.Getenv(gatewaySettingsVariable); encoded != "" {
		gatewaySettings := &gatewaysettings.Settings{}
		if err := json.Unmarshal([]byte(encoded), gatewaySettings); err != nil {
			panic(err)
		}
		host.Configure(gatewaySettings)
	}
	go func() {
		// The input ends with the process that runs the tests.
		io.Copy(io.Discard, os.Stdin) //nolint:errcheck // any end of the input counts
		os.Exit(1)
	}()
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	go func() {
		<-terminated
		host.Drain(context.Background())
	}()
	if err := host.Run(context.Background()); err != nil {
		panic(err)
	}
}

// startProcess runs a host in a process of its own, so that a killed host sends nothing more.
func (c *testCluster) startProcess(h *host) {
	c.t.Helper()
	settings, err := json.Marshal(h.settings)
	require.NoError(c.t, err)
	cmd := exec.Command(os.Args[0]) //nolint:noctx // ended by its stop function
	cmd.Env = append(os.Environ(), hostProcessVariable+"="+string(settings))
	if c.gatewaySettings != nil {
		gatewaySettings, err := json.Marshal(c.gatewaySettings)
		require.NoError(c.t, err)
		cmd.Env = append(cmd.Env, gatewaySettingsVariable+"="+string(gatewaySettings))
	}
	if c.processOutput != nil {
		cmd.Stdout = c.processOutput(string(h.settings.Name))
	}
	cmd.Stderr = os.Stderr
	_, err = cmd.StdinPipe()
	require.NoError(c.t, err)
	require.NoError(c.t, cmd.Start())
	done := make(chan struct{})
	go func() {
		cmd.Wait() //nolint:errcheck // most hosts are killed
		close(done)
	}()
	h.done, h.process = done, cmd.Process
	h.stop = func() { cmd.Process.Kill() }                    //nolint:errcheck // the process may have ended
	h.drain = func() { cmd.Process.Signal(syscall.SIGTERM) }  //nolint:errcheck // the process may have ended
	h.pause = func() { cmd.Process.Signal(syscall.SIGSTOP) }  //nolint:errcheck // the process may have ended
	h.resume = func() { cmd.Process.Signal(syscall.SIGCONT) } //nolint:errcheck // the process may have ended
	c.t.Cleanup(func() {
		cmd.Process.Kill() //nolint:errcheck // the process may have ended
		<-done
	})
}
