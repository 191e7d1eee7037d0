package process

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"
)

const (
	// leaveTimeout is how long after the signal to end a process waits for its member's vote
	// to be handed over, of the 6 s that it has until it is killed.
	leaveTimeout = 4 * time.Second
	// shutdownLinger is how long calls that others have made of this process may go on after that.
	shutdownLinger = 100 * time.Millisecond
)

// Run serves until the context ends, then shuts down in order. It is called once.
func (p *Process) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	tasks := p.startTasks(background)
	cfg := p.settings.Load()
	p.log.Info("started", "name", cfg.Name, "core", p.member != nil && p.member.exclusionReason() == "",
		"internal", cfg.InternalAddr())

	// 1. When the context ends, leadership and vote are handed over and the other processes
	// are informed, while the gateway finishes its requests: the time until the process
	// is killed is too short for one after the other.
	left := make(chan struct{})
	stopLeaving := context.AfterFunc(ctx, func() {
		defer close(left)
		p.leave(background)
	})
	defer stopLeaving()
	p.serveTraffic(ctx)
	<-left

	// 2. Calls of operators end before the member stops, which answers them.
	p.finishControlCalls(background)
	// 3. The member, heartbeats, watches and reloads end.
	stopBackground()
	// 4. No other process is answered from here on, and none is called.
	p.internalServer.Stop()
	p.closeControlServer()
	p.conns.Close()
	tasks.Wait()
	// 5. Last the store: nothing writes to it any more.
	return p.member.close()
}

// startTasks starts all that runs beside the traffic. Every task ends once the context has
// ended and the servers are stopped.
func (p *Process) startTasks(ctx context.Context) *sync.WaitGroup {
	var tasks sync.WaitGroup
	tasks.Go(p.serveInternal)
	if p.controlServer != nil {
		tasks.Go(p.serveControl)
	}
	if p.member != nil {
		tasks.Go(func() { p.member.run(ctx) })
	}
	tasks.Go(func() { p.peers.Run(ctx) })
	tasks.Go(func() { p.watcher.run(ctx) })
	tasks.Go(func() { p.discoverServers(ctx) })
	tasks.Go(func() { p.followSettings(ctx) })
	if p.meter != nil {
		tasks.Go(func() { p.serveMetrics(ctx) })
	}
	return &tasks
}

func (p *Process) serveInternal() {
	err := p.internalServer.Serve(p.internalListener)
	if err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		p.log.Error("internal server stopped", "error", err)
	}
}

func (p *Process) serveControl() {
	err := p.controlServer.Serve(p.controlAccess.listener(p.controlListener))
	if !errors.Is(err, http.ErrServerClosed) {
		p.log.Error("operator interface stopped", "error", err)
	}
}

func (p *Process) serveMetrics(ctx context.Context) {
	if err := p.meter.Serve(ctx, p.metricsListener); err != nil {
		p.log.Error("metrics server stopped", "error", err)
	}
}

// serveTraffic serves clients until the context ends and their requests are finished. A
// process without the data plane waits a moment, in which calls of others end.
func (p *Process) serveTraffic(ctx context.Context) {
	if p.gateway != nil {
		p.gateway.Run(ctx)
		return
	}
	<-ctx.Done()
	time.Sleep(shutdownLinger)
}

// leave hands leadership and vote over and announces the leaving to the other processes. It
// returns once the vote is handed over, or after leaveTimeout.
func (p *Process) leave(ctx context.Context) {
	timeout := time.NewTimer(leaveTimeout)
	defer timeout.Stop()
	core := p.member.core()
	if core == nil {
		p.peers.Leave(ctx)
		return
	}
	handedOver := core.Leave()
	p.peers.Leave(ctx)
	if handedOver == nil {
		return
	}
	select {
	case <-handedOver:
	case <-timeout.C:
		p.log.Warn("vote not handed over in time")
	}
}

// finishControlCalls lets calls of operators end for a moment.
func (p *Process) finishControlCalls(ctx context.Context) {
	if p.controlServer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownLinger)
	defer cancel()
	_ = p.controlServer.Shutdown(ctx) // what is left at its end is closed by closeControlServer
}

// closeControlServer closes the connections of operators that are still open.
func (p *Process) closeControlServer() {
	if p.controlServer != nil {
		_ = p.controlServer.Close() // the process ends: nothing can be done about an error
	}
}
