package node

import (
	"cmp"
	"context"
	"time"
)

// maxReloadPause is the longest pause between two readings of a file that can't be used; the
// first one is minRetryPause.
const maxReloadPause = time.Second

// Reload has the configuration file read again. Of what it says, the address of
// discovery takes effect; all else holds from the next start on.
func (n *Node) Reload() {
	select {
	case n.reloadRequests <- struct{}{}:
	default: // the one that waits reads the same file
	}
}

// handleReloads carries out what Reload requests, until the context ends. A file that
// can't be used changes nothing: it may be half written, and is read again soon.
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
			continue // the watch goes on, also where NODE_DISCOVERY named its address
		}
		inFile = cfg.discoveryInFile
		select {
		case n.discoveryAddress <- cfg.Discovery:
		case <-ctx.Done():
		}
	}
}

// reread reads the configuration as at the start, but for the address of
// discovery: there a new file goes before the environment, which can't change
// and still names the address of the start.
func (c *Config) reread() (*Config, error) {
	return loadFile(c.path, c.getenv, func(file, env string) string { return cmp.Or(file, env) })
}

// followDiscovery watches discovery until the context ends, at one address after the other. A
// new address ends the watch at the old one at once: it would last until its time is up, and
// its list is no longer in force.
func (n *Node) followDiscovery(ctx context.Context) {
	at, index := n.cfg.Discovery, listIndex{n.cfg.KnownServers.Seq, len(n.cfg.KnownServers.Hosts) > 0}
	for ctx.Err() == nil {
		watching, end := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			n.watchDiscovery(watching, at, index)
			close(ended)
		}()
		select {
		case <-ctx.Done():
		case at = <-n.discoveryAddress:
			index = listIndex{} // another one counts anew: ask for the whole list
		}
		end()
		<-ended // no list of the old address is applied from here on
	}
}
