package scenario

import (
	"maps"
	"slices"
)

// Fault is something that goes wrong during a day, or that its operator does. What a
// field means depends on the kind; a figure of 0 is the least that the kind knows.
type Fault struct {
	Kind   FaultKind `toml:"kind"`
	AtS    float64   `toml:"at"`     // when it strikes, from the start of traffic
	ForS   float64   `toml:"for_s"`  // how long it lasts, or the pause between two that it strikes
	Count  int       `toml:"count"`  // how many limiters or servers it strikes; 0: one
	Factor float64   `toml:"x"`      // how much, how often, or which share of answers
	Mode   string    `toml:"how"`    // of GreyServers: one of GreyModes
	Tenant string    `toml:"tenant"` // of HotTenant and ChangeQuota: whose; empty: the first one's
}

// FaultKind is a kind of fault, as a day's file names it.
type FaultKind string

// Kinds of faults of limiters.
const (
	KillNodes    FaultKind = "kill"     // processes are killed and start again after ForS
	KillAllNodes FaultKind = "kill_all" // all at once
	RestartNodes FaultKind = "term"     // processes end in order and start again, with ForS between them
	ReloadNodes  FaultKind = "hup"      // processes read their settings again
	FreezeNodes  FaultKind = "freeze"   // processes stand still for ForS
	// ThrottleNodes: processes run for a share Factor of each tenth of a second and stand still for the rest, as under
	// a quota of processor time that is spent early.
	ThrottleNodes FaultKind = "throttle"
	// PartitionZone: the last zone's limiters and the others can't reach each other.
	PartitionZone FaultKind = "cut"
)

// Kinds of faults of servers.
const (
	CrashServers      FaultKind = "crash"        // they end; the list shows them for ForS still
	ReplaceServers    FaultKind = "release"      // others start, and these drain
	ReuseAddresses    FaultKind = "reuse"        // they drain; others of another service get their addresses
	FlapServers       FaultKind = "flap"         // they go down and up each Factor seconds
	SlowServers       FaultKind = "slow"         // they take Factor times as long
	LoseAnswers       FaultKind = "lost_answers" // a share of answers never comes
	RepeatAnswers     FaultKind = "stutter"      // a share of answers is sent twice, at once or late
	GreyServers       FaultKind = "grey"         // a share of requests fails, by Mode, and probes succeed
	ForgetConnections FaultKind = "forget"       // connections at rest for Factor seconds are reset
	// UnreachableZone: the last zone's servers can't be reached, and what they have in hand is
	// not answered.
	UnreachableZone FaultKind = "zone_dark"
	SlowZone        FaultKind = "zone_slow" // the last zone's servers take Factor times as long
)

// Kinds of what tenants and operators do.
const (
	// LeavingClients: a share Factor of the clients leaves within half of the latency target.
	LeavingClients FaultKind = "give_up"
	// PipeliningClients: Count clients keep up to Factor requests unanswered on a connection each, for ForS.
	PipeliningClients FaultKind = "pipeline"

	HotTenant     FaultKind = "hot_tenant" // a tenant sends Factor times its usual
	ChangeQuota   FaultKind = "quota"      // a tenant's limit is from now on Factor times its first
	ChangeConfig  FaultKind = "config"     // another configuration is brought
	InvalidConfig FaultKind = "bad_config" // configurations are brought that must be rejected
	RevokeKey     FaultKind = "revoke"     // the last tenant changes its key, and the old one is revoked
	// ExtremeConfig: a valid configuration is brought whose added routes and request limits hold the highest numbers.
	ExtremeConfig FaultKind = "extreme_config"
	// EmptyTenants: all tenants are taken away, and brought back after ForS. No request may pass meanwhile.
	EmptyTenants FaultKind = "no_tenants"
	// LoseLeaderInDrain: servers drain, and the leader is killed and is back at once.
	LoseLeaderInDrain FaultKind = "drain_race"
	// RaceChanges: two configurations on the same version, one at each side, while the
	// leader stands still.
	RaceChanges FaultKind = "race"
)

// GreyModes are the ways in which a server can fail requests while its probes succeed.
var GreyModes = []string{GreyErrors, GreyReset, GreyShed, GreyMute, GreySlow, GreyUnframed}

// Ways in which a server can fail requests while its probes succeed.
const (
	GreyErrors = "errors" // it answers with an error, after the work
	GreyReset  = "reset"  // it resets the connection, after the work
	GreyShed   = "shed"   // it rejects what it has room for
	GreyMute   = "mute"   // it never answers
	GreySlow   = "slow"   // it takes many times as long
	// GreyUnframed: it answers with an error page without a length, after the work, and ends or resets the connection.
	GreyUnframed = "unframed"
)

// players are the programs that play a fault.
type players struct{ emulator, simulation bool }

var playedBy = map[FaultKind]players{
	KillNodes:         {emulator: true, simulation: true},
	KillAllNodes:      {emulator: true, simulation: true},
	RestartNodes:      {emulator: true},
	ReloadNodes:       {emulator: true},
	FreezeNodes:       {emulator: true, simulation: true},
	ThrottleNodes:     {emulator: true},
	PartitionZone:     {simulation: true},
	CrashServers:      {emulator: true, simulation: true},
	ReplaceServers:    {emulator: true, simulation: true},
	ReuseAddresses:    {emulator: true},
	FlapServers:       {emulator: true},
	SlowServers:       {emulator: true, simulation: true},
	LoseAnswers:       {emulator: true, simulation: true},
	RepeatAnswers:     {emulator: true},
	GreyServers:       {emulator: true},
	ForgetConnections: {emulator: true},
	UnreachableZone:   {simulation: true},
	SlowZone:          {simulation: true},
	LeavingClients:    {emulator: true},
	PipeliningClients: {emulator: true},
	HotTenant:         {emulator: true, simulation: true},
	ChangeQuota:       {emulator: true},
	ChangeConfig:      {emulator: true},
	InvalidConfig:     {emulator: true},
	RevokeKey:         {emulator: true},
	ExtremeConfig:     {emulator: true},
	EmptyTenants:      {emulator: true},
	LoseLeaderInDrain: {emulator: true},
	RaceChanges:       {emulator: true},
}

// known reports whether anything plays such a fault.
func (k FaultKind) known() bool { return playedBy[k] != players{} }

// Emulated reports whether the emulator can play it.
func (f *Fault) Emulated() bool { return playedBy[f.Kind].emulator }

// Simulated reports whether the simulation can play it.
func (f *Fault) Simulated() bool { return playedBy[f.Kind].simulation }

// FaultKinds returns all kinds, sorted.
func FaultKinds() []FaultKind { return slices.Sorted(maps.Keys(playedBy)) }
