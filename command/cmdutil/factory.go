package cmdutil

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-logr/logr"

	"cardamomward/io/logfmt"
	"cardamomward/io/operatorapi"
)

// IOStreams are the streams of a command.
type IOStreams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Factory injects what commands need of the world.
type Factory struct {
	IOStreams IOStreams
	Now       func() time.Time
	HTTP      *http.Client
	ReadFile  func(name string) ([]byte, error)
}

// operatorTimeout bounds an operator's request, which may wait for all hosts.
const operatorTimeout = 30 * time.Second

// NewFactory returns a factory for the real world.
func NewFactory() *Factory {
	return &Factory{
		IOStreams: IOStreams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr},
		Now:       time.Now,
		HTTP:      &http.Client{Timeout: operatorTimeout},
		ReadFile:  os.ReadFile,
	}
}

// Operator returns a client for a host's operator address.
func (f *Factory) Operator(address string) *operatorapi.Client {
	return &operatorapi.Client{Address: address, HTTPClient: f.HTTP}
}

// Logger returns a logger on the error stream.
func (f *Factory) Logger(verbosity int) logr.Logger {
	return logfmt.New(f.IOStreams.Err, f.Now, verbosity)
}
