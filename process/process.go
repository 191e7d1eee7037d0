// Package process assembles one process of the system: the data plane if its role serves
// clients, the operator interface if its role serves control, and a Raft member of the control
// plane if the settings make the machine one.
//
// [New] opens everything that the settings name, or fails with an error that names the
// setting. [Process.Run] serves until its context ends and then shuts down in order. Comments
// in Process.open and Process.Run explain the order of the steps.
package process

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/dataplane"
	"example.org/elmspan/keys"
	"example.org/elmspan/membership"
	"example.org/elmspan/settings"
	"example.org/elmspan/telemetry"
)

const (
	// minVoters voters tolerate the loss of one machine. Each further loss to tolerate, as set by
	// fault_tolerance.machine_failures, needs two more voters.
	minVoters = 3
	// memberDir is the subdirectory of the data directory with the Raft member's store.
	memberDir = "log"

	controlHeaderTimeout = 2 * time.Second
	controlIdleTimeout   = 5 * time.Second
)

// Options configures a process. SettingsPath, Tuning and Log are required.
type Options struct {
	SettingsPath string           // path of the settings file
	TuningPath   string           // path of the tuning file, read again for log.level; may be empty
	Tuning       *settings.Tuning // contents of the tuning file at the start
	Log          *slog.Logger
	// Level, if set, is updated from log.level when the tuning file is read again.
	Level *slog.LevelVar
}

// Process is one running process. Its fields are set by New and do not change afterwards unless
// their comments say so.
type Process struct {
	Options
	log   *slog.Logger
	start time.Time
	// seed of all random numbers, drawn anew at each start. Each goroutine has its own source.
	seed     uint64
	settings atomic.Pointer[settings.Node] // replaced by reloadSettings; the Node itself is immutable
	reload   chan struct{}                 // requests to read the settings and the other files again

	ring  *keys.Keyring      // nil: no TLS between the system's processes
	meter *telemetry.Metrics // nil: no metrics are kept

	conns   *api.ConnPool
	client  *controlplane.Client
	member  *memberHost        // nil: the settings ask for no Raft member
	gateway *dataplane.Gateway // nil: the role does not serve clients
	peers   *membership.Service
	known   knownPeers
	watcher *watcher

	internalServer *grpc.Server
	controlServer  *http.Server // nil: the role does not serve control
	controlAccess  controlAccess
	leaving        atomic.Bool // set once, when the shutdown begins

	internalListener, controlListener, metricsListener net.Listener // nil: not open
}

// New opens everything that the settings ask for. An error caused by a setting begins with its
// name. After an error everything is closed again.
func New(o Options) (*Process, error) {
	cfg, err := settings.Read(o.SettingsPath)
	if err != nil {
		return nil, err
	}
	p := &Process{
		Options: o,
		log:     o.Log,
		start:   time.Now(),
		seed:    rand.Uint64(),
		reload:  make(chan struct{}, 1),
		known:   knownPeers{limiters: map[string]bool{}, members: map[string]string{}},
	}
	p.settings.Store(cfg)
	if err := p.open(cfg); err != nil {
		return nil, errors.Join(err, p.closeListeners(), p.member.close())
	}
	return p, nil
}

// open is the start-up sequence. Nothing is answered before Run: earlier connections wait in
// the backlog of the listeners.
func (p *Process) open(cfg *settings.Node) error {
	// Keys first: every connection and every listener between processes uses them.
	if err := p.openKeyring(); err != nil {
		return err
	}
	p.newClient(cfg)
	// Metrics before the components that update them.
	if err := p.openMetrics(); err != nil {
		return err
	}
	// The member's store before the membership service, which announces whether this machine
	// takes part in the control plane: that depends on the format of the store.
	if err := p.openMember(cfg); err != nil {
		return err
	}
	// The gateway before the watcher, which updates it, and before the membership service, which
	// reports every change of the peers to it.
	if err := p.openGateway(cfg); err != nil {
		return err
	}
	p.newWatcher()
	p.newPeers(cfg)
	// The internal server after the member and the membership service: it registers both.
	if err := p.openInternalServer(cfg); err != nil {
		return err
	}
	// The operator interface last: its calls may reach all of the above.
	return p.openControlServer(cfg)
}

func (p *Process) openKeyring() (err error) {
	dir := p.Tuning.TLS.Dir
	if dir == "" {
		return nil
	}
	if p.ring, err = keys.Open(dir); err != nil {
		return fmt.Errorf("tls.dir: %w", err)
	}
	p.log.Info("keys loaded", "dir", dir, "expires", p.ring.Expires())
	return nil
}

// newClient creates the connection pool for other processes and the client of the control
// plane, which initially knows the seeds.
func (p *Process) newClient(cfg *settings.Node) {
	p.conns = api.NewConnPool(p.ring)
	p.client = &controlplane.Client{Conns: p.conns, Log: p.log, Name: cfg.Name, Status: p.status}
	p.client.SetMembers("", cfg.SeedAddrs())
}

func (p *Process) openMetrics() (err error) {
	addr := p.Tuning.Metrics.Address
	if addr == "" {
		return nil
	}
	if p.metricsListener, err = net.Listen("tcp", addr); err != nil {
		return fmt.Errorf("metrics.address: %w", err)
	}
	p.meter = telemetry.New()
	p.registerGauges()
	return nil
}

func (p *Process) openMember(cfg *settings.Node) error {
	if !cfg.CoreMember() {
		return nil
	}
	p.member = &memberHost{
		dir:    filepath.Join(cfg.DataDir, memberDir),
		client: p.client,
		log:    p.log,
		cfg: controlplane.CoreConfig{
			Addr:         cfg.InternalAddr(),
			Seeds:        cfg.SeedAddrs(),
			Voters:       max(minVoters, 2*cfg.Tolerance.Machines+1),
			Conns:        p.conns,
			Log:          p.log,
			Seed:         p.seed,
			KnownMembers: p.joinAddrs,
		},
	}
	return p.member.open(cfg.Bootstrap)
}

func (p *Process) openGateway(cfg *settings.Node) (err error) {
	if !cfg.Serves(settings.RoleEdge) {
		return nil
	}
	p.gateway, err = dataplane.New(cfg, dataplane.Options{
		Seed:     p.seed,
		Log:      p.log,
		Upstream: p.Tuning.Upstream,
		Link:     p.Tuning.Link,
		Keys:     p.ring,
		Metrics:  p.meter,
		// Called for gossip from an unknown limiter: a membership exchange makes it known.
		UnknownPeer: func(addr string) { p.peers.ExchangeWith(addr) },
	})
	return err
}

func (p *Process) newWatcher() {
	p.watcher = &watcher{
		name:    func() string { return p.settings.Load().Name },
		seed:    p.seed,
		start:   p.start,
		log:     p.log,
		conns:   p.conns,
		client:  p.client,
		member:  p.member,
		gateway: p.gateway,
	}
}

func (p *Process) newPeers(cfg *settings.Node) {
	self := api.Peer{
		Name:    cfg.Name,
		Addr:    cfg.InternalAddr(),
		Zone:    cfg.Zone,
		StartID: p.seed,
		Edge:    cfg.Serves(settings.RoleEdge),
		Core:    p.member != nil && p.member.exclusionReason() == "",
	}
	if !self.Edge { // the two processes of a machine share one node name
		self.Name += "/" + cfg.Role
	}
	seeds := func() []string { return p.settings.Load().SeedAddrs() }
	p.peers = membership.New(self, seeds, p.conns, p.seed, p.log, p.peersChanged)
}

func (p *Process) openInternalServer(cfg *settings.Node) (err error) {
	p.internalServer = api.NewServer(p.ring)
	api.RegisterMembership(p.internalServer, p.peers)
	if p.member != nil {
		api.RegisterControl(p.internalServer, p.member)
	}
	// A machine that bootstraps asks all seeds, so seeds without a member answer as well.
	api.RegisterBootstrap(p.internalServer, p.member)
	if p.internalListener, err = api.Listen(context.Background(), cfg.InternalAddr()); err != nil {
		return fmt.Errorf("internal_port_range: %w", err)
	}
	return nil
}

func (p *Process) openControlServer(cfg *settings.Node) (err error) {
	if !cfg.Serves(settings.RoleControl) {
		return nil
	}
	if p.controlListener, err = net.Listen("tcp", cfg.Listeners.Control); err != nil {
		return fmt.Errorf("listeners.control_port: %w", err)
	}
	handler, err := p.controlAccess.open(&p.Tuning.Control, p.client.Handler(), p.log)
	if err != nil {
		return err
	}
	p.controlServer = &http.Server{
		Handler:           p.closeWhenLeaving(handler),
		ReadHeaderTimeout: controlHeaderTimeout,
		IdleTimeout:       controlIdleTimeout,
		ErrorLog:          slog.NewLogLogger(p.log.Handler(), slog.LevelDebug),
	}
	return nil
}

// closeWhenLeaving has the responses of a handler close their connections once the shutdown has
// begun: callers that keep theirs busy would have a call cut when the server closes.
func (p *Process) closeWhenLeaving(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// closeListeners closes the listeners and the gateway of a process that has not been run.
func (p *Process) closeListeners() error {
	var errs []error
	for _, l := range []net.Listener{p.internalListener, p.controlListener, p.metricsListener} {
		if l != nil {
			errs = append(errs, l.Close())
		}
	}
	if p.gateway != nil {
		errs = append(errs, p.gateway.Close())
	}
	return errors.Join(errs...)
}
