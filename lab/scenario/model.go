package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// What follows is how clients and servers behave, on loopback and simulated.

// MaxAttempts is how often a client sends a request at the most.
const MaxAttempts = 4

// DrawTenant picks whose request comes next, and by how many times requests come
// faster while one tenant (empty: none) sends hotX times its usual.
func (s *Day) DrawTenant(rng *rand.Rand, hot string, hotX float64) (t *Tenant, faster float64) {
	x := rng.Float64() * s.Shares()
	t = &s.Tenants[0]
	for i := range s.Tenants {
		if x -= s.Tenants[i].Share; x < 0 {
			t = &s.Tenants[i]
			break
		}
	}
	if hot == "" {
		return t, 1
	}
	more := (hotX - 1) * s.Tenant(hot).Share / s.Shares()
	if faster = 1 + more; rng.Float64() < more/faster {
		t = s.Tenant(hot)
	}
	return t, faster
}

// Shorten ends the day earlier; troubles past its end don't strike.
func (s *Day) Shorten(seconds float64) {
	s.LengthS = seconds
	var within []Fault
	for _, t := range s.Faults {
		if t.AtS <= seconds {
			within = append(within, t)
		}
	}
	s.Faults = within
}

// ShouldRetry tells whether a client sends a request again after a status (0: no
// answer): one that may run twice, or that was promised not to have run, or that
// the limiter can't have read. What is wrong with it stays so.
func (c *Class) ShouldRetry(status int, unread bool) bool {
	switch {
	case status/100 == 2, status == 400, status == 401, status == 404, status == 413:
		return false
	case status == 429, status == 503, status == 408, status == 421:
		return true
	}
	return c.Idempotent() || unread
}

// RetryDelay is how long a client waits after so many tries, told to come back after
// a wait.
func RetryDelay(tries int, wait time.Duration) time.Duration {
	return max(wait, time.Duration(tries)*10*time.Millisecond)
}

// DrawWork draws how long a server works on a request, in milliseconds: so many
// times as long as usual, and twice that while it is cold.
func (c *Class) DrawWork(rng *rand.Rand, slow float64, cold bool) float64 {
	ms := c.WorkMs * slow * math.Exp(0.5*rng.NormFloat64()-0.125)
	if cold {
		ms *= 2
	}
	return ms
}

// maxCopies bounds what stands for many in a day's file.
const maxCopies = 20_000

// expandCopies puts what stands for many in a day's file in the place of it: services with
// their servers and classes' requests divided among them, and tenants with their share.
func (s *Day) expandCopies() error {
	var services []Service
	var tenants []Tenant
	into := map[string][]string{} // names of the copies
	for i, v := range s.Services {
		if v.Copies < 0 || v.Copies > min(maxCopies, max(1, v.Servers)) {
			return fmt.Errorf("services.%d.copies: %d: from 0 to the number of servers", i, v.Copies)
		}
		if v.Copies == 0 {
			services = append(services, v)
			continue
		}
		for k := range v.Copies {
			c := v
			c.Name, c.Copies = fmt.Sprintf("%s-%d", v.Name, k+1), 0
			c.Servers = v.Servers*(k+1)/v.Copies - v.Servers*k/v.Copies
			services, into[v.Name] = append(services, c), append(into[v.Name], c.Name)
		}
	}
	var classes []Class
	for _, c := range s.Classes {
		if into[c.Service] == nil {
			classes = append(classes, c)
		}
		for k, name := range into[c.Service] {
			o := c
			o.Name, o.Service, o.PerS = fmt.Sprintf("%s-%d", c.Name, k+1), name, c.PerS/float64(len(into[c.Service]))
			classes = append(classes, o)
		}
	}
	for i, t := range s.Tenants {
		if t.Copies < 0 || t.Copies > maxCopies {
			return fmt.Errorf("tenants.%d.copies: %d: from 0 to %d", i, t.Copies, maxCopies)
		}
		if t.Copies == 0 {
			tenants = append(tenants, t)
			continue
		}
		for k := range t.Copies {
			c := t
			c.Name, c.Share, c.Copies = fmt.Sprintf("%s-%d", t.Name, k+1), t.Share/float64(t.Copies), 0
			tenants = append(tenants, c)
		}
	}
	s.Services, s.Classes, s.Tenants = services, classes, tenants
	return nil
}
