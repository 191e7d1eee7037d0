package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

// strike has a trouble happen at its time.
func (f *Fleet) strike(ctx context.Context, t scenario.Fault) {
	if !backoff.Sleep(ctx, time.Duration(t.AtS*float64(time.Second))) {
		return
	}
	fmt.Fprintf(f.log, "%5.1f s  %s\n", f.sinceStart().Seconds(), t.Kind)
	count := max(1, t.Count)
	lasting := time.Duration(max(t.ForS, 0.5) * float64(time.Second))
	switch t.Kind {
	case "kill", "kill_all":
		if t.Kind == "kill_all" {
			count = len(f.nodes)
		}
		for _, n := range f.some(count) {
			n.mu.Lock()
			n.hold = true
			n.mu.Unlock()
			n.signal(syscall.SIGKILL)
			time.AfterFunc(lasting, func() {
				n.mu.Lock()
				n.hold = false
				n.mu.Unlock()
			})
		}
	case "term":
		for _, n := range f.some(count) {
			n.signal(syscall.SIGTERM)
			if !backoff.Sleep(ctx, lasting) {
				return
			}
		}
	case "hup":
		for _, n := range f.some(count) {
			n.signal(syscall.SIGHUP)
		}
	case "freeze":
		for _, n := range f.some(count) {
			n.signal(syscall.SIGSTOP)
			time.AfterFunc(lasting, func() { n.signal(syscall.SIGCONT) })
		}
	case "crash":
		for _, s := range f.platform.pick(f.perm, count) {
			s.stop()
			time.AfterFunc(lasting, func() { f.platform.gone(s) })
		}
	case "release", "reuse":
		for _, s := range f.platform.pick(f.perm, count) {
			f.replace(ctx, s, t.Kind == "reuse")
		}
	case "flap":
		f.flap(ctx, f.platform.pick(f.perm, count), time.Duration(max(t.Factor, 0.2)*float64(time.Second)), lasting)
	case "drain_race":
		f.drainRace(ctx, count)
	case "race":
		f.race(ctx, lasting)
	case "lost_answers", "slow", "stutter", "grey", "forget":
		for _, s := range f.platform.pick(f.perm, count) {
			s.mu.Lock()
			switch t.Kind {
			case "slow":
				s.slow = max(2, t.Factor)
			case "stutter":
				s.stutter = max(0.03, t.Factor)
			case "grey":
				s.grey, s.ill = t.Mode, max(0.03, t.Factor)
			case "forget":
				s.forget = time.Duration(max(0.05, t.Factor) * float64(time.Second))
			default:
				s.lose = max(0.03, t.Factor)
			}
			s.mu.Unlock()
			time.AfterFunc(lasting, func() {
				s.mu.Lock()
				s.slow, s.lose, s.stutter, s.grey, s.forget = 1, 0, 0, "", 0
				s.mu.Unlock()
			})
		}
	case "hot_tenant":
		f.load.heat(f.spec.Tenants[0].Name, max(2, t.Factor))
		backoff.Sleep(ctx, lasting)
		f.load.heat("", 1)
	case "config":
		f.operator.change(ctx)
	case "bad_config":
		f.operator.invalid(ctx)
	case "revoke":
		f.operator.revoke(ctx, f.spec.Tenants[len(f.spec.Tenants)-1].Name)
	}
}

// flap has servers go down and up until a time is over.
func (f *Fleet) flap(ctx context.Context, servers []*server, each, lasting time.Duration) {
	down := false
	for end := time.Now().Add(lasting); time.Now().Before(end); {
		down = !down
		for _, s := range servers {
			s.flap(down)
		}
		if !backoff.Sleep(ctx, each) {
			break
		}
	}
	for _, s := range servers {
		s.flap(false)
	}
}

// leader is the machine whose process leads the core, nil where none says so.
func (f *Fleet) leader() *node {
	for _, n := range f.nodes {
		resp, err := readinessClient.Get("http://" + n.control + "/v1/Status")
		if err != nil {
			continue
		}
		var s struct{ Core *struct{ Role string } }
		err = json.NewDecoder(resp.Body).Decode(&s)
		resp.Body.Close()
		if err == nil && s.Core != nil && s.Core.Role == "leader" {
			return n
		}
	}
	return nil
}

// drainRace has servers drain and, as soon as the list shows it, the leader die: it
// is started again at once. Nobody may send to them once that was acknowledged.
func (f *Fleet) drainRace(ctx context.Context, count int) {
	n := f.leader()
	for _, s := range f.platform.pick(f.perm, count) {
		go f.replace(ctx, s, false) // ends with the drain, or the day
	}
	if n != nil && backoff.Sleep(ctx, raceAfter) {
		n.signal(syscall.SIGKILL)
	}
}

// race has the leader stand still while two configurations that build on the same
// version are brought, one to the leader's own side and one to the others'.
func (f *Fleet) race(ctx context.Context, lasting time.Duration) {
	n := f.leader()
	if n == nil {
		return
	}
	n.signal(syscall.SIGSTOP)
	time.AfterFunc(lasting, func() { n.signal(syscall.SIGCONT) })
	f.operator.race(ctx, n)
}

// raceAfter is about how long the leader takes to see that servers drain.
const raceAfter = 300 * time.Millisecond

// replace starts a server anew under another id: drains the old one first, and
// takes its address over, for another service, where told.
func (f *Fleet) replace(ctx context.Context, s *server, reuse bool) {
	v := s.spec
	if reuse {
		for i := range f.spec.Services {
			if f.spec.Services[i].Name != s.service {
				v = &f.spec.Services[i]
			}
		}
	} else if _, err := f.startServer(v, s.zone, "127.201.0.1:0"); err != nil {
		fmt.Fprintln(f.log, err)
	}
	f.platform.drain(s)
	if !backoff.Sleep(ctx, (checker.DrainMs+500)*time.Millisecond) {
		return
	}
	f.platform.gone(s)
	s.stop()
	if reuse {
		if _, err := f.startServer(v, s.zone, s.addr); err != nil {
			fmt.Fprintln(f.log, err)
		}
	}
}

// heat makes a tenant send so many times its usual.
func (l *load) heat(name string, x float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hot, l.hotX = name, x
}

// perm draws an order at random. Troubles strike at the same time.
func (f *Fleet) perm(n int) []int {
	f.drawing.Lock()
	defer f.drawing.Unlock()
	return f.rng.Perm(n)
}

func (f *Fleet) some(count int) (out []*node) {
	for _, i := range f.perm(len(f.nodes)) {
		if len(out) < count {
			out = append(out, f.nodes[i])
		}
	}
	return out
}
