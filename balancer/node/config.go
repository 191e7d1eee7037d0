// Package node runs a [balancer.Limiter], which does no I/O itself, as a network service: it
// connects the limiter to clients, servers, service discovery and peers. Load the configuration
// with [LoadConfig], create a [Node] with [New] and call [Node.Run].
package node

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"example.org/elmspan/balancer"
	"example.org/elmspan/balancer/wire"
)

// Config is the configuration of a [Node].
type Config struct {
	Name          string
	Listen        string // address for clients
	Discovery     string
	Seed          uint64
	Limits        Limits
	PeerListen    string // address for messages from peers; empty: no peer messages
	Peers         []netip.AddrPort
	BroadcastPeer netip.AddrPort // reaches all peers; the zero value: there is no such address
	KnownServers  serverList     // last known server list, possibly stale
	Settings      Settings

	path            string // of the configuration file, for reloads
	getenv          func(string) string
	discoveryInFile string // discovery address in the file; NODE_DISCOVERY may override it
}

// Limits are the resource limits of the process. 0 means the default: one core, no memory limit,
// defaultSockets.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Settings are the settings of the deployment: those of the [balancer.Limiter] and those that
// the network code needs.
type Settings struct {
	Limiter         balancer.Settings
	ClassIndex      map[string]int
	PlanIndex       map[string]int
	Zones           []string
	IdleTimeout     time.Duration // servers close connections that have been idle this long
	ConnectTimeout  time.Duration
	MaxInFlight     int           // maximum number of requests in flight; 0: no limit
	MaxUnits        float64       // maximum quota units of one request
	LongestDeadline time.Duration // longest deadline of all classes
}

// defaultConnectTimeout and defaultIdleTimeout apply if the settings have no value.
const (
	defaultConnectTimeout = 250 * time.Millisecond
	defaultIdleTimeout    = 30 * time.Second
)

// configFile is the layout of the configuration file.
type configFile struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"`
	Limits     Limits          `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      serverList      `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// LoadConfig reads the file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN and NODE_DISCOVERY,
// if set, override the values in the file.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set")
	}
	return loadFile(path, getenv, func(file, env string) string { return cmp.Or(env, file) })
}

// loadFile reads a configuration file. The function discovery chooses between the discovery
// addresses of the file and of the environment.
func loadFile(path string, getenv func(string) string, discovery func(file, env string) string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading NODE_CONFIG: %w", err)
	}
	var f configFile
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("NODE_CONFIG %s: %w", path, err)
	}
	inFile := f.Discovery
	f.Name = cmp.Or(getenv("NODE_NAME"), f.Name)
	f.Listen = cmp.Or(getenv("NODE_LISTEN"), f.Listen)
	f.Discovery = discovery(f.Discovery, getenv("NODE_DISCOVERY"))
	c, err := f.config()
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG %s: %w", path, err)
	}
	c.path, c.getenv, c.discoveryInFile = path, getenv, inFile
	return c, nil
}

// config validates the file's values and returns the configuration.
func (f *configFile) config() (*Config, error) {
	c := &Config{
		Name: f.Name, Limits: f.Limits, KnownServers: f.Known, Listen: f.Listen, Discovery: f.Discovery,
	}
	if _, err := netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(f.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if !f.Limits.valid() {
		return nil, fmt.Errorf("limits: a value is negative, or sockets is too low: %+v", f.Limits)
	}
	if c.Settings, err = parseSettings(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	caps := &c.Settings.Limiter.Caps
	caps.Peers = caps.Peers && f.PeerListen != ""
	if caps.Peers {
		err = f.parsePeers(c)
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}

// valid reports whether no limit is negative and there are enough sockets to run.
func (l Limits) valid() bool {
	return l.Cores >= 0 && l.MemoryMB >= 0 && (l.Sockets == 0 || l.Sockets >= minSockets)
}

// parsePeers parses the addresses of the peers and stores them in c.
func (f *configFile) parsePeers(c *Config) error {
	if len(f.Peers) != c.Settings.Limiter.Balancers {
		return fmt.Errorf("peers: got %d addresses for %d limiters", len(f.Peers), c.Settings.Limiter.Balancers)
	}
	if _, err := netip.ParseAddrPort(f.PeerListen); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	c.PeerListen = f.PeerListen
	for i, p := range f.Peers {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return fmt.Errorf("peers.%d: %w", i, err)
		}
		c.Peers = append(c.Peers, a)
	}
	if f.PeersAll == "" {
		return nil
	}
	var err error
	if c.BroadcastPeer, err = netip.ParseAddrPort(f.PeersAll); err != nil {
		return fmt.Errorf("peers_all: %w", err)
	}
	return nil
}

// parseSettings parses the settings object with the parser of the simulator's protocol, so that
// the simulator and this package interpret settings in the same way.
func parseSettings(data json.RawMessage) (s Settings, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var object map[string]any
	if err := d.Decode(&object); err != nil {
		return s, err
	}
	values := map[string]string{}
	flatten("", object, values)
	p := wire.NewSettingsParser(values)
	if s.Limiter, err = p.Settings(); err != nil {
		return s, err
	}
	if s.ClassIndex, err = indexByName(p, "request_classes"); err != nil {
		return s, err
	}
	if s.PlanIndex, err = indexByName(p, "packages"); err != nil {
		return s, err
	}
	s.Zones = strings.Split(p.Text("failure_domains"), ",")
	s.IdleTimeout = cmp.Or(millis(p.Number("caps.conn_idle_ms")), defaultIdleTimeout)
	s.ConnectTimeout = cmp.Or(millis(s.Limiter.Caps.ConnectTimeoutMs), defaultConnectTimeout)
	s.MaxInFlight = p.Integer("caps.max_open")
	s.MaxUnits = cmp.Or(p.Number("family_info.units_top"), math.MaxFloat64)
	for _, c := range s.Limiter.Classes {
		s.LongestDeadline = max(s.LongestDeadline, millis(c.DeadlineMs))
	}
	return s, p.Err()
}

// indexByName maps the name of each entry in a list of the settings to its index.
func indexByName(p *wire.SettingsParser, list string) (map[string]int, error) {
	m := map[string]int{}
	for i := range p.Count(list) {
		name := p.Text(fmt.Sprintf("%s.%d.name", list, i))
		if _, ok := m[name]; ok || name == "" {
			return nil, fmt.Errorf("%s.%d.name: %q is empty or a duplicate", list, i, name)
		}
		m[name] = i
	}
	return m, nil
}

// flatten writes nested settings to out under their paths. Scalars of a list are joined with
// commas; the length of each list is stored under .count.
func flatten(path string, v any, out map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for name, item := range v {
			if path != "" {
				name = path + "." + name
			}
			flatten(name, item, out)
		}
	case []any:
		var plain []string
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				flatten(path+"."+strconv.Itoa(i), item, out)
			} else {
				plain = append(plain, fmt.Sprint(item))
			}
		}
		out[path] = strings.Join(plain, ",")
		out[path+".count"] = strconv.Itoa(len(v))
	case nil:
	default:
		out[path] = fmt.Sprint(v)
	}
}

// millis converts milliseconds to a duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
