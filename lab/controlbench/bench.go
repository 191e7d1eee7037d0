package controlbench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"example.org/elmspan/api"
)

// A run that waits for longer than these ends with an error. Tests raise them.
var (
	startTimeout = 60 * time.Second
	applyTimeout = 60 * time.Second // until the last watcher has what was acknowledged
)

const (
	// changeInterval is the time between two changes.
	changeInterval = time.Second
	// retryPause is between two attempts to have a configuration accepted.
	retryPause = 200 * time.Millisecond
	// controlTimeout is for one call to the operator interface.
	controlTimeout = 5 * time.Second

	loopback     = "127.0.0.1:0"
	randomStream = 1
)

// portRole is what a port of a member is for. All members have the same ports, on addresses of
// their own.
type portRole int

const (
	internalPort portRole = iota
	secondInternalPort
	frontPort
	readyPort
	controlPort
	portRoles // how many there are
)

// bench is one measurement.
type bench struct {
	spec     Spec
	program  []string // with its arguments
	dir      string   // for settings, data and logs
	rng      *rand.Rand
	ports    [portRoles]int
	platform *platform
	control  http.Client
	config   api.Config // the newest
	watchers []*watcher
	events   chan watchEvent
	counters counters

	mu      sync.Mutex // guards members
	members []*member
}

func newBench(spec Spec, program []string, dir string) *bench {
	return &bench{
		spec:     spec,
		program:  program,
		dir:      dir,
		rng:      rand.New(rand.NewPCG(spec.Seed, randomStream)),
		control:  http.Client{Timeout: controlTimeout},
		counters: counters{begun: time.Now()},
	}
}

// Run starts the control plane with a program and its arguments (as "elmspan gateway"), puts
// settings, data and logs into a folder, and measures. The report is returned with an error too,
// where some phases were measured before.
func Run(ctx context.Context, spec Spec, program []string, dir string) (report *Report, err error) {
	if err := spec.check(); err != nil {
		return nil, err
	}
	b := newBench(spec, program, dir)
	defer func() { err = errors.Join(err, b.close()) }()
	if err := b.start(ctx); err != nil {
		return nil, err
	}
	return b.measure(ctx)
}

// memberIP is the loopback address of a member: one of this process alone, as far as can be.
func memberIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>8%64, pid%256, 10+i)
}

// addr is the address of a member's port.
func (b *bench) addr(i int, role portRole) string {
	return net.JoinHostPort(memberIP(i), fmt.Sprint(b.ports[role]))
}

// start starts the platform and the members.
func (b *bench) start(ctx context.Context) error {
	if err := b.choosePorts(); err != nil {
		return err
	}
	var err error
	if b.platform, err = startPlatform(b.spec.Servers, b.spec.Services, b.spec.Calls); err != nil {
		return err
	}
	for i := range b.spec.Members {
		m, err := b.startMember(ctx, i)
		if err != nil {
			return err
		}
		b.members = append(b.members, m)
	}
	return nil
}

// choosePorts chooses ports that nobody listened on a moment ago. All are open until the last is
// chosen, so that they differ.
func (b *bench) choosePorts() (err error) {
	for i := range b.ports {
		l, listenErr := net.Listen("tcp", net.JoinHostPort(memberIP(0), "0"))
		if listenErr != nil {
			return errors.Join(err, fmt.Errorf("controlbench: %w", listenErr))
		}
		defer func() { err = errors.Join(err, l.Close()) }()
		b.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return err
}

// close stops everything that was started.
func (b *bench) close() error {
	err := b.stopWatchers()
	for _, m := range b.members {
		err = errors.Join(err, m.kill())
	}
	if b.platform != nil {
		err = errors.Join(err, b.platform.close())
	}
	return err
}

// currentMembers are the processes as they are now.
func (b *bench) currentMembers() []*member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.members)
}

// sleep waits, and returns the context's error where that ends before.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(max(0, d)):
		return nil
	}
}
