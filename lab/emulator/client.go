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

const (
	clientCount = 40 // a zone
)

// load is all the clients.
type load struct {
	f     *Fleet
	mu    sync.Mutex
	rng   *rand.Rand
	tally *checker.Tally
	hot   string  // this tenant sends ...
	hotX  float64 // ... so many times its usual
	tasks sync.WaitGroup
	seq   int

	client *Client // of all: connections are shared
}

func newLoad(f *Fleet) *load {
	l := &load{f: f, rng: rand.New(rand.NewPCG(f.spec.Seed, 9)), tally: checker.NewTally(f.spec),
		client: newClient(hostName)}
	return l
}

// run sends the day's requests, spaced at random, until the context ends, and waits
// for their answers.
func (l *load) run(ctx context.Context) {
	for i := range l.f.spec.Classes {
		c := &l.f.spec.Classes[i]
		l.tasks.Go(func() {
			for ctx.Err() == nil {
				l.mu.Lock()
				t, x := l.f.spec.DrawTenant(l.rng, l.hot, l.hotX)
				pause := l.rng.ExpFloat64() / (c.PerS * x)
				l.seq++
				n, zone, client := l.seq, l.rng.IntN(len(l.f.spec.Zones)), l.rng.IntN(clientCount)
				l.mu.Unlock()
				time.Sleep(time.Duration(pause * float64(time.Second)))
				l.tasks.Go(func() { l.request(c, t, zone, client, n) })
			}
		})
	}
	l.tasks.Wait()
}

// request is one client's request, with its further tries.
func (l *load) request(c *scenario.Class, t *scenario.Tenant, zone, client, n int) {
	began := time.Now()
	status, tries := l.client.ask(context.Background(), ask{
		class: c,
		entry: func(try int) string {
			if node := l.f.entry(zone, client+try); node != nil {
				return node.front
			}
			return ""
		},
		id:  func(try int) string { return fmt.Sprintf("%08x%04x%04x", n, try, l.f.spec.Seed&0xffff) },
		key: func() string { return l.f.operator.key(t.Name) },
		sent: func(id, key string, body []byte) {
			l.f.ledger.Sent(id, &checker.Attempt{Class: c, Tenant: t.Name, Key: key, Body: crc32.ChecksumIEEE(body)})
		},
		answered: l.f.ledger.Answered,
	})
	l.tally.Add(c, l.f.since(began), status, tries, time.Since(began))
}
