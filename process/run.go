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
	// leaveTimeout limits how long a process that is shutting down waits until its member's
	// vote is handed over. The process is killed 6 s after the signal to end.
	leaveTimeout = 4 * time.Second
	// shutdownLinger is how long calls from other processes and operators may continue during the
	// shutdown.
	shutdownLinger = 100 * time.Millisecond
)

// Run serves until the context ends, then shuts down in order. It is called once.
func (p *Process) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	tasks := p.startTasks(background)
	cfg := p.settings.Load()
	p.log.Info("started", "name", cfg.Name, "core", p.member != nil && p.member.exclusionReason() == "",
		"internal", cfg.InternalAddr())

	// 1. When the context ends, leadership and vote are handed over and the other processes are
	// notified, while the gateway finishes its requests. The time until the process is killed
	// is too short to do these one after the other.
	leaveDone := make(chan struct{})
	cancelLeave := context.AfterFunc(ctx, func() {
		defer close(leaveDone)
		p.leaving.Store(true)
		p.leave(background)
	})
	defer cancelLeave()
	p.serveTraffic(ctx)
	<-leaveDone

	// 2. Operators' calls end before the member that answers them stops.
	p.finishControlCalls(background)
	// 3. The member, the membership service, the watches and the reloads stop.
	stopBackground()
	// 4. From here on no calls to or from other processes are possible.
	p.internalServer.Stop()
	p.closeControlServer()
	p.conns.Close()
	tasks.Wait()
	// 5. The store is closed last, when nothing writes to it any more.
	return p.member.close()
}

// startTasks starts the background tasks. All of them end once the context has ended and the
// servers are stopped.
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

// serveTraffic serves clients until the context has ended and their requests are finished. A
// process without the data plane waits shutdownLinger after the context has ended, so that
// calls from other processes and operators can finish.
func (p *Process) serveTraffic(ctx context.Context) {
	if p.gateway != nil {
		p.gateway.Run(ctx)
		return
	}
	<-ctx.Done()
	time.Sleep(shutdownLinger)
}

// leave hands over leadership and vote and announces the departure to the other processes. It
// returns once the vote is handed over or leaveTimeout has passed.
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

// finishControlCalls waits up to shutdownLinger for operators' calls to finish.
func (p *Process) finishControlCalls(ctx context.Context) {
	if p.controlServer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownLinger)
	defer cancel()
	_ = p.controlServer.Shutdown(ctx) // closeControlServer closes what is left after the time-out
}

// closeControlServer closes operators' connections that are still open.
func (p *Process) closeControlServer() {
	if p.controlServer != nil {
		_ = p.controlServer.Close() // the process is ending: an error can't be handled
	}
}
