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
	leaving   float64 // share of clients that leave before they are answered
	homes     map[home]string
}

// home is a client: it goes on with the limiter that it has connections to.
type home struct{ zone, client int }

func newLoad(f *Fleet) *load {
	return &load{
		fleet:   f,
		rng:     rand.New(rand.NewPCG(f.spec.Seed, 9)),
		counter: checker.NewCounter(f.spec),
		client:  newClient(hostName),
		homes:   map[home]string{},
	}
}

// arrival is a request that a client is about to send.
type arrival struct {
	tenant      *scenario.Tenant
	pause       time.Duration // before it
	sequence    int
	home        home
	giveUpAfter time.Duration // of the client; 0: until the deadline
	http10      bool          // the client speaks HTTP/1.0
	pipelines   bool          // it sends a second request before the first is answered
}

// Clients that leave stay for a part of the latency target, from the least to the most.
const (
	minGiveUpPart = 0.1
	maxGiveUpPart = 0.5
)

// Shares of the clients that speak HTTP/1.0, and that send a second request before the first is answered.
const (
	http10Share     = 0.05
	pipeliningShare = 0.1
)

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
	a := arrival{tenant: tenant, pause: pause, sequence: l.sequence}
	a.http10, a.pipelines = l.rng.Float64() < http10Share, l.rng.Float64() < pipeliningShare
	a.home = home{l.rng.IntN(len(l.fleet.spec.Zones)), l.rng.IntN(clientsPerZone)}
	if l.rng.Float64() < l.leaving {
		part := minGiveUpPart + (maxGiveUpPart-minGiveUpPart)*l.rng.Float64()
		a.giveUpAfter = time.Duration(part * class.TargetMs * float64(time.Millisecond))
	}
	return a
}

// nextSequence returns the number of the next request.
func (l *load) nextSequence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return l.sequence
}

// setLeaving has a share of the clients leave before they are answered.
func (l *load) setLeaving(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = share
}

// target is the limiter for an attempt of a client. It goes on with the one that it has open connections to, whatever
// the platform says, until these are closed; else it gets a new one.
func (l *load) target(h home, attempt int) string {
	l.mu.Lock()
	front := l.homes[h]
	l.mu.Unlock()
	if attempt == 0 && front != "" && l.client.hasIdle(front) {
		return front
	}
	n := l.fleet.entry(h.zone, h.client+attempt)
	if n == nil {
		return ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.homes[h] = n.front
	return n.front
}

// setHot makes a tenant send so many times its usual.
func (l *load) setHot(tenant string, factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hot, l.hotFactor = tenant, factor
}

// endHot has a tenant send its usual again, unless another one is hot by now.
func (l *load) endHot(tenant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hot == tenant {
		l.hot, l.hotFactor = "", 1
	}
}

// request is one client's request, with its retries.
func (l *load) request(class *scenario.Class, a arrival) {
	begun := time.Now()
	added := a.sequence%2 == 0 && l.fleet.operator.knownAddedRoutes()
	status, attempts, gaveUp := l.client.sendUntil(context.Background(), request{
		class:  class,
		target: func(attempt int) string { return l.target(a.home, attempt) },
		id: func(attempt int) string {
			return fmt.Sprintf("%08x%04x%04x", a.sequence, attempt, l.fleet.spec.Seed&0xffff)
		},
		key:         func() string { return l.fleet.operator.key(a.tenant.Name) },
		giveUpAfter: a.giveUpAfter,
		addedRoute:  added,
		keeps:       true,
		http10:      a.http10,
		pipelines:   a.pipelines,
		events: &loggedAttempts{
			log: l.fleet.log, class: class, tenant: a.tenant.Name,
			added: added, anyRetries: added && l.fleet.operator.hasExtremes(),
		},
	})
	if !gaveUp { // what a client gives up early is not owed
		l.counter.Add(class, l.fleet.since(begun), status, attempts, time.Since(begun))
	}
}

// loggedAttempts reports the attempts at a request to the checker.
type loggedAttempts struct {
	log    *checker.Log
	class  *scenario.Class
	tenant string
	added  bool // on a route that was added during the day
	// anyRetries: the retry_count of that route may be too high to bound anything
	anyRetries bool
}

func (e *loggedAttempts) sent(id, target, key string, body []byte) {
	e.log.Sent(id, &checker.Attempt{
		Class:        e.class,
		Tenant:       e.tenant,
		Key:          key,
		Body:         crc32.ChecksumIEEE(body),
		Machine:      target,
		OnAddedRoute: e.added,
		AnyRetries:   e.anyRetries,
	})
}

func (e *loggedAttempts) answered(id string, status int, seal string, got []byte) {
	e.log.Answered(id, status, seal, got)
}

func (e *loggedAttempts) left(id string)                 { e.log.Left(id) }
func (e *loggedAttempts) unended(id string)              { e.log.Unended(id) }
func (e *loggedAttempts) aborted(id string)              { e.log.Aborted(id) }
func (e *loggedAttempts) abortedBehind(id, first string) { e.log.AbortedBehind(id, first) }
func (e *loggedAttempts) unread(id string)               { e.log.Unread(id) }
func (e *loggedAttempts) arrived(id string) bool         { return e.log.HasArrived(id) }
