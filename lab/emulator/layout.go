package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
)

const (
	firstOctet   = 10 // 127.10.0.1 is the first machine of the first zone
	maxPerZone   = 100
	maxVoters    = 3
	firstPort    = 20000
	portRows     = 1000 // that ports are looked for in
	portsPerRow  = 20
	portAttempts = 50
)

// Ports of a machine, counted from the first of its row.
const (
	frontPort = iota
	readyPort
	controlPort
	_
	internalPort
	internalPorts = 10
	metricsPort   = 16
)

// ports are alike on all machines.
type ports struct{ front, ready, control, internal, metrics int }

// layOut makes the machines, with their folders. The first ones of three zones, or the
// first three of one where there are fewer zones, are members of the control plane.
func (f *Fleet) layOut(program string) error {
	for zi, zone := range f.spec.Zones {
		for i := range f.spec.PerZone {
			ip := fmt.Sprintf("127.%d.0.%d", firstOctet+zi, i+1)
			n := &node{
				program: program,
				name:    fmt.Sprintf("edge-%s-%d", zone, i+1),
				zone:    zone,
				ip:      ip,
				core:    i == 0 && zi < maxVoters || len(f.spec.Zones) < maxVoters && i < maxVoters && zi == 0,
				front:   fmt.Sprint(ip, ":", f.ports.front),
				ready:   fmt.Sprint(ip, ":", f.ports.ready),
				control: fmt.Sprint(ip, ":", f.ports.control),
				metrics: fmt.Sprint(ip, ":", f.ports.metrics),
				log:     f.log,
			}
			n.dir = filepath.Join(f.dir, n.name)
			if err := os.MkdirAll(n.dataDir(), 0o755); err != nil {
				return fmt.Errorf("emulator: %w", err)
			}
			f.nodes = append(f.nodes, n)
		}
	}
	return nil
}

// freePorts finds a row of ports that nobody listens on.
func freePorts() (int, error) {
	for range portAttempts {
		base := firstPort + portsPerRow*rand.IntN(portRows)
		if rowIsFree(base) {
			return base, nil
		}
	}
	return 0, errors.New("emulator: no row of free ports")
}

func rowIsFree(base int) bool {
	for port := base; port < base+portsPerRow; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port))
		if err != nil {
			return false
		}
		if l.Close() != nil {
			return false
		}
	}
	return true
}
