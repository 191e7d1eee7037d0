package emulator

import (
	"context"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"sync"
	"time"

	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

// clientsPerZone share a connection pool, and each goes to one limiter.
const clientsPerZone = 40

// load is all the clients of a fleet.
type load struct {
	fleet   *Fleet
	counter *checker.Counter
	client  *Client // of all: connections are shared
	tasks   sync.WaitGroup

	mu        sync.Mutex
	rng       *rand.Rand
	sequence  int
	hot       string // this tenant sends hotFactor times its usual; empty: none
	hotFactor float64
}

func newLoad(f *Fleet) *load {
	return &load{
		fleet:   f,
		rng:     rand.New(rand.NewPCG(f.spec.Seed, 9)),
		counter: checker.NewCounter(f.spec),
		client:  newClient(hostName),
	}
}

// arrival is a request that a client is about to send.
type arrival struct {
	tenant       *scenario.Tenant
	pause        time.Duration // before it
	sequence     int
	zone, client int
}

// run sends the day's requests, spaced at random, until the context ends, and waits
// for their answers.
func (l *load) run(ctx context.Context) {
	for i := range l.fleet.spec.Classes {
		class := &l.fleet.spec.Classes[i]
		l.tasks.Go(func() {
			for ctx.Err() == nil {
				next := l.next(class)
				time.Sleep(next.pause)
				l.tasks.Go(func() { l.request(class, next) })
			}
		})
	}
	l.tasks.Wait()
}

// next draws the next request of a class.
func (l *load) next(class *scenario.Class) arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	tenant, faster := l.fleet.spec.DrawTenant(l.rng, l.hot, l.hotFactor)
	pause := seconds(l.rng.ExpFloat64() / (class.PerS * faster))
	l.sequence++
	zone := l.rng.IntN(len(l.fleet.spec.Zones))
	return arrival{tenant, pause, l.sequence, zone, l.rng.IntN(clientsPerZone)}
}

// setHot makes a tenant send so many times its usual.
func (l *load) setHot(tenant string, factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hot, l.hotFactor = tenant, factor
}

// request is one client's request, with its retries.
func (l *load) request(class *scenario.Class, a arrival) {
	begun := time.Now()
	status, attempts := l.client.send(context.Background(), request{
		class: class,
		target: func(attempt int) string {
			if n := l.fleet.entry(a.zone, a.client+attempt); n != nil {
				return n.front
			}
			return ""
		},
		id: func(attempt int) string {
			return fmt.Sprintf("%08x%04x%04x", a.sequence, attempt, l.fleet.spec.Seed&0xffff)
		},
		key: func() string { return l.fleet.operator.key(a.tenant.Name) },
		sent: func(id, key string, body []byte) {
			l.fleet.log.Sent(id, &checker.Attempt{
				Class:  class,
				Tenant: a.tenant.Name,
				Key:    key,
				Body:   crc32.ChecksumIEEE(body),
			})
		},
		answered: l.fleet.log.Answered,
	})
	l.counter.Add(class, l.fleet.since(begun), status, attempts, time.Since(begun))
}
