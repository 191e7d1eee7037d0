package emulator

import (
	"fmt"
	"hash/crc32"
	"slices"
	"sync"
	"time"
)

// Rule figures, as in the settings that the processes get.
const (
	drainMs        = 3000
	configApplyMs  = 3000
	revokeMs       = 5000
	quotaWindowS   = 5.0
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
	mostBroken     = 20
)

// ledger is what the stand-ins saw. Times are since the start of traffic.
type ledger struct {
	mu       sync.Mutex
	start    time.Time
	sent     map[string]*sentTry
	runs     map[string][]run
	draining map[string]time.Duration // since when the list shows a member as draining or gone
	revoked  map[string]time.Duration // keys, since the acknowledgement
	quotas   map[string]quotaOf
	broken   []string
	counts   map[string]int // of broken rules
}

type quotaOf struct{ rate, burst float64 }

// sentTry is one try of a client.
type sentTry struct {
	class  *Class
	tenant string
	key    string
	at     time.Duration
	body   uint32 // checksum of what was sent
	status int    // 0: none
}

type run struct {
	service, member, tenant string
	at                      time.Duration
	body                    uint32
}

func newLedger() *ledger {
	return &ledger{start: time.Now(), sent: map[string]*sentTry{}, runs: map[string][]run{}, draining: map[string]time.Duration{},
		revoked: map[string]time.Duration{}, quotas: map[string]quotaOf{}, counts: map[string]int{}}
}

func (l *ledger) now() time.Duration { return time.Since(l.start) }

// breaks notes a broken rule. Called under the mutex.
func (l *ledger) breaks(rule, format string, args ...any) {
	l.counts[rule]++
	if len(l.broken) < mostBroken {
		l.broken = append(l.broken, fmt.Sprintf("%.3f s %s: %s", l.now().Seconds(), rule, fmt.Sprintf(format, args...)))
	}
}

func (l *ledger) send(id string, s *sentTry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.at = l.now()
	l.sent[id] = s
}

// runs1 notes that a server runs a request, and checks what it got.
func (l *ledger) run(id string, r run, sawKey bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.at = l.now()
	s := l.sent[id]
	switch {
	case s == nil:
		l.breaks("UNASKED", "%s ran %q, which no client sent", r.member, id)
		return
	case s.tenant != r.tenant || sawKey:
		l.breaks("UNASKED", "%s was told the tenant %q for %q, or the key", r.member, r.tenant, s.tenant)
	case s.body != r.body:
		l.breaks("UNASKED", "%s got another body with %s", r.member, id)
	case s.class.Service != r.service:
		l.breaks("ROUTE", "%s ran at %s, %s is its service", id, r.service, s.class.Service)
	}
	if at, ok := l.draining[r.member]; ok && r.at-at > drainMs*time.Millisecond {
		l.breaks("DRAIN", "%s got %s %v after it was shown as draining", r.member, id, r.at-at)
	}
	if at, ok := l.revoked[s.key]; ok && s.at-at > revokeMs*time.Millisecond {
		l.breaks("CONFIG", "%s ran with a key that was taken away %v before", id, s.at-at)
	}
	l.runs[id] = append(l.runs[id], r)
	if n := len(l.runs[id]); n > 1 && !repeatable(s.class) {
		l.breaks("TWICE", "%s (%s) ran %d times", id, s.class.Name, n)
	}
}

// answered notes what a client got.
func (l *ledger) answered(id string, status int, seal string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sent[id]
	s.status = status
	ok := slices.ContainsFunc(l.runs[id], func(r run) bool { return seal == sealOf(r.member, id, body) })
	if status/100 == 2 && !ok {
		l.breaks("MIXED", "%s got a success with the seal %q and %d bytes that no run of it gave", id, seal, len(body))
	}
}

// judge checks what can only be told at the end.
func (l *ledger) judge() {
	l.mu.Lock()
	defer l.mu.Unlock()
	byTenant := map[string][]float64{}
	for id, rs := range l.runs {
		s := l.sent[id]
		if s.status != 0 && !repeatable(s.class) && (s.status == 429 || s.status == 503 || s.status == 408 || s.status == 421) {
			l.breaks("REFUSED", "%s was answered %d and has run", id, s.status)
		}
		byTenant[s.tenant] = append(byTenant[s.tenant], rs[0].at.Seconds())
	}
	for t, at := range byTenant {
		q := l.quotas[t]
		if q.rate <= 0 {
			continue
		}
		slices.Sort(at)
		most := (q.rate*quotaWindowS+q.burst)*(1+quotaOvershoot) + quotaSlack
		for i, j := 0, 0; i < len(at); i++ {
			for at[i]-at[j] > quotaWindowS {
				j++
			}
			if n := float64(i - j + 1); n > most {
				l.breaks("QUOTA", "%s ran %.0f requests in %v s up to %.1f s, %.0f are the most", t, n, quotaWindowS, at[i], most)
				break
			}
		}
	}
}

func repeatable(c *Class) bool { return c.Type == "idempotent" || c.Type == "download" }

// sealOf is the stamp of a server on an answer.
func sealOf(member, id string, body []byte) string {
	return fmt.Sprintf("%s.%08x", member, crc32.ChecksumIEEE(append([]byte(member+"/"+id+"/"), body...)))
}
