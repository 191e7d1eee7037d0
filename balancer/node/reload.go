package node

import (
	"cmp"
	"context"
	"time"
)

// maxReloadPause is the longest pause between attempts to load an invalid file. The first pause
// is minRetryPause.
const maxReloadPause = time.Second

// Reload requests a reload of the configuration file. Only a new discovery address takes effect;
// other changes need a restart.
func (n *Node) Reload() {
	select {
	case n.reloadRequests <- struct{}{}:
	default: // a pending request will read the same file
	}
}

// handleReloads reloads the configuration when Reload requests it, until the context is
// canceled. An invalid file changes nothing. It may be only partly written, so loading it is
// retried after a pause.
func (n *Node) handleReloads(ctx context.Context) {
	failures := &rateLimitedLog{logger: n.log}
	pause, inFile := minRetryPause, n.cfg.discoveryInFile
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.reloadRequests:
			pause = minRetryPause
		case <-retry:
		}
		retry = nil
		cfg, err := n.cfg.reread()
		if err != nil {
			failures.warn("configuration reload failed, the old one stays in force", "error", err)
			retry = time.After(pause)
			pause = min(2*pause, maxReloadPause)
			continue
		}
		n.log.Info("configuration reloaded", "discovery", cfg.Discovery)
		if cfg.discoveryInFile == inFile {
			continue // keep the watch, even if its address comes from NODE_DISCOVERY
		}
		inFile = cfg.discoveryInFile
		select {
		case n.discoveryAddress <- cfg.Discovery:
		case <-ctx.Done():
		}
	}
}

// reread loads the configuration as at startup, except that the discovery address in the file
// overrides NODE_DISCOVERY: the environment of a running process can't change and still has the
// address from startup.
func (c *Config) reread() (*Config, error) {
	return loadFile(c.path, c.getenv, func(file, env string) string { return cmp.Or(file, env) })
}

// followDiscovery watches the discovery service until the context is canceled. A new address
// cancels the watch at the old one at once: the watch could otherwise last for all of watchWait
// and deliver a list that no longer applies.
func (n *Node) followDiscovery(ctx context.Context) {
	addr, index := n.cfg.Discovery, listIndex{n.cfg.KnownServers.Seq, len(n.cfg.KnownServers.Hosts) > 0}
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			n.watchDiscovery(watchCtx, addr, index)
			close(done)
		}()
		select {
		case <-ctx.Done():
		case addr = <-n.discoveryAddress:
			index = listIndex{} // indexes are per service: request the complete list
		}
		cancel()
		<-done // no list from the old address is applied after this
	}
}
