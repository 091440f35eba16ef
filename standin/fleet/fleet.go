package fleet

import (
	"context"
	"fmt"
	"regexp"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"cardamomward/core/id"
	"cardamomward/core/settings"
	"cardamomward/io/daemon"
	"cardamomward/io/operatorapi"
	"cardamomward/standin/engine"
	"cardamomward/standin/hostlist"
	"cardamomward/standin/logserver"
	"cardamomward/standin/netsim"
	"cardamomward/standin/service"
)

// loopbackAddress binds a free port of the loopback interface.
const loopbackAddress = "127.0.0.1:0"

// Options configure a fleet.
type Options struct {
	// HostCount is the number of hosts to start; zero starts three.
	HostCount int
	// SettingsDocument are the settings in YAML; each upstream in them is replaced by a stand-in.
	SettingsDocument []byte
	// EngineConfig configures the engines; their address and model are set by Start.
	EngineConfig engine.Config
	// FailureDomains are assigned to the hosts round-robin; if empty, three domains are used.
	FailureDomains []id.FailureDomain
	// LocationTTL is the cache lifetime of the address of a program's owner, at callers.
	LocationTTL time.Duration
	// LogRetention is the retention of the log that the hosts are configured with.
	LogRetention time.Duration
	Logger       logr.Logger
	// Network lets tests cut links; the endpoints are the names of hosts and upstreams, LogName and HostListName. Nil dials directly.
	Network *netsim.Network
}

const defaultHosts = 3

// Names of the platform's services in the Network.
const (
	LogName      = "log"
	HostListName = "hosts"
)

// Fleet is a set of running stand-ins and hosts.
type Fleet struct {
	LogServer *logserver.Server
	HostList  *hostlist.Server
	Engines   map[id.Upstream]*engine.Server
	Services  map[id.Upstream]*service.Server
	Hosts     []*daemon.Host
	// SettingsDocument are the settings with the addresses of the stand-ins.
	SettingsDocument []byte
	// Settings are the parsed settings.
	Settings *settings.Fleet

	network     *netsim.Network
	hostCancels []context.CancelFunc
	hostDone    []chan struct{}
	group       sync.WaitGroup
}

var (
	errs = errorx.NewNamespace("fleet")

	// ErrInvalidSettings is the type of the errors about invalid settings.
	ErrInvalidSettings = errs.NewType("settings")
)

// Start starts the stand-ins and hosts; it does not publish the settings.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{
		Engines:          make(map[id.Upstream]*engine.Server),
		Services:         make(map[id.Upstream]*service.Server),
		SettingsDocument: opts.SettingsDocument,
		network:          opts.Network,
	}
	parsed, findings := settings.Parse("settings", opts.SettingsDocument)
	if len(findings) > 0 {
		return nil, ErrInvalidSettings.New("%v", findings)
	}
	f.Settings = parsed
	if err := f.startPlatform(); err != nil {
		return nil, err
	}
	if err := f.startUpstreams(opts); err != nil {
		return nil, err
	}
	if opts.HostCount == 0 {
		opts.HostCount = defaultHosts
	}
	if len(opts.FailureDomains) == 0 {
		opts.FailureDomains = []id.FailureDomain{"domain-a", "domain-b", "domain-c"}
	}
	for i := range opts.HostCount {
		domain := opts.FailureDomains[i%len(opts.FailureDomains)]
		if _, err := f.StartHost(ctx, fmt.Sprintf("host-%d", i+1), string(domain), opts); err != nil {
			return nil, err
		}
	}

	return f, nil
}

func (f *Fleet) startPlatform() error {
	log, err := logserver.New(loopbackAddress)
	if err != nil {
		return err
	}
	list, err := hostlist.New(loopbackAddress, 0)
	if err != nil {
		return err
	}
	log.Start()
	list.Start()
	f.LogServer, f.HostList = log, list
	f.setAddressName(log.Address(), LogName)
	f.setAddressName(list.Address(), HostListName)

	return nil
}

// startUpstreams starts a stand-in for each upstream and replaces the upstream's address in the settings.
func (f *Fleet) startUpstreams(opts Options) error {
	standinAddresses := make(map[string]string)
	for _, svc := range f.Settings.SortedServices() {
		for _, upstream := range svc.Upstreams {
			address, err := f.startUpstream(svc, upstream, opts)
			if err != nil {
				return err
			}
			f.setAddressName(address, string(upstream.ID))
			standinAddresses[upstream.Address] = address
		}
	}
	f.SettingsDocument = replaceAddresses(f.SettingsDocument, standinAddresses)
	parsed, findings := settings.Parse("settings", f.SettingsDocument)
	if len(findings) > 0 {
		return ErrInvalidSettings.New("%v", findings)
	}
	f.Settings = parsed

	return nil
}

// addressPattern matches the longest runs of address characters, so that only whole addresses are replaced.
var addressPattern = regexp.MustCompile(`[0-9A-Fa-f.:\[\]]+`)

// replaceAddresses replaces the upstream addresses in a document by those of the stand-ins.
func replaceAddresses(document []byte, standinAddresses map[string]string) []byte {
	return addressPattern.ReplaceAllFunc(document, func(found []byte) []byte {
		if address, ok := standinAddresses[string(found)]; ok {
			return []byte(address)
		}

		return found
	})
}

func (f *Fleet) startUpstream(svc *settings.Service, upstream settings.Upstream, opts Options) (string, error) {
	if svc.Kind == settings.KindPlain {
		server, err := service.New(service.Config{
			Address: loopbackAddress, Idempotent: svc.Idempotent, KnowsOutcomes: svc.KnowsOutcomes,
		})
		if err != nil {
			return "", err
		}
		server.Start()
		f.Services[upstream.ID] = server

		return server.Address(), nil
	}
	config := opts.EngineConfig
	config.Address, config.Model = loopbackAddress, string(svc.Model)
	server, err := engine.New(config)
	if err != nil {
		return "", err
	}
	server.Start()
	f.Engines[upstream.ID] = server

	return server.Address(), nil
}

// StartHost starts another host and appends it to Hosts.
func (f *Fleet) StartHost(ctx context.Context, name, domain string, opts Options) (*daemon.Host, error) {
	host, err := daemon.New(daemon.Config{
		Host:            id.Host(name),
		FailureDomain:   id.FailureDomain(domain),
		LogAddress:      f.LogServer.Address(),
		HostListAddress: f.HostList.Address(),
		LocationTTL:     opts.LocationTTL,
		LogRetention:    opts.LogRetention,
	}, daemon.Options{Logger: opts.Logger, Dial: f.dialer(name)})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f.hostCancels = append(f.hostCancels, cancel)
	done := make(chan struct{})
	f.hostDone = append(f.hostDone, done)
	f.group.Go(func() {
		defer close(done)
		if err := host.Run(ctx); err != nil {
			opts.Logger.Error(err, "host-failed")
		}
	})
	f.Hosts = append(f.Hosts, host)
	f.setAddressName(host.HostEntry().PeerAddress, name)

	return host, nil
}

// dialer returns the Network's dial function for a host, or nil without a Network.
func (f *Fleet) dialer(name string) daemon.DialFunc {
	if f.network == nil {
		return nil
	}

	return daemon.DialFunc(f.network.DialerFrom(name))
}

func (f *Fleet) setAddressName(address, name string) {
	if f.network != nil {
		f.network.SetAddressName(address, name)
	}
}

// KillHost stops a host without draining it and waits until it has exited.
func (f *Fleet) KillHost(index int) {
	f.hostCancels[index]()
	<-f.hostDone[index]
}

// OperatorClient returns a client of the operator API of a host.
func (f *Fleet) OperatorClient(index int) *operatorapi.Client {
	return &operatorapi.Client{Address: f.Hosts[index].HostEntry().OperatorAddress}
}

// readyPollInterval is the polling interval of WaitUntilReady.
const readyPollInterval = 50 * time.Millisecond

// WaitUntilReady waits until each host sees all others live and the hosts own all slots; it returns the error of ctx if ctx ends first.
func (f *Fleet) WaitUntilReady(ctx context.Context) error {
	for {
		if f.isReady(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
}

func (f *Fleet) isReady(ctx context.Context) bool {
	for i := range f.Hosts {
		status, err := f.OperatorClient(i).GetClusterStatus(ctx)
		if err != nil || len(status.Hosts) != len(f.Hosts) {
			return false
		}
		slots := 0
		for _, host := range status.Hosts {
			if !host.Live || host.OwnedSlots == 0 {
				return false
			}
			slots += host.OwnedSlots
		}
		if slots != id.SlotCount {
			return false
		}
	}

	return true
}

// Stop stops all hosts and stand-ins.
func (f *Fleet) Stop() {
	for _, cancel := range f.hostCancels {
		cancel()
	}
	f.group.Wait()
	for _, server := range f.Engines {
		server.Abort()
	}
	for _, server := range f.Services {
		server.Abort()
	}
	f.HostList.Abort()
	f.LogServer.Abort()
}
