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

// IOStreams are the standard streams of a command.
type IOStreams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Factory provides the dependencies of commands, which tests replace.
type Factory struct {
	IOStreams  IOStreams
	Now        func() time.Time
	HTTPClient *http.Client
	ReadFile   func(name string) ([]byte, error)
}

// operatorTimeout bounds a request to the operator API, which may wait for all hosts.
const operatorTimeout = 30 * time.Second

// NewFactory returns a factory with the process's streams, the system clock and the file system.
func NewFactory() *Factory {
	return &Factory{
		IOStreams:  IOStreams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr},
		Now:        time.Now,
		HTTPClient: &http.Client{Timeout: operatorTimeout},
		ReadFile:   os.ReadFile,
	}
}

// OperatorClient returns a client of the operator API at the given address.
func (f *Factory) OperatorClient(address string) *operatorapi.Client {
	return &operatorapi.Client{Address: address, HTTPClient: f.HTTPClient}
}

// Logger returns a logger that writes events up to the given level to the error stream.
func (f *Factory) Logger(verbosity int) logr.Logger {
	return logfmt.New(f.IOStreams.Err, f.Now, verbosity)
}
