package controlplane

import (
	"errors"
	"slices"
	"time"

	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// tend looks at all members, and has one whose store was found corrupt begin anew.
func (w *coreWorld) tend() {
	for _, m := range w.machines {
		w.mu.Lock()
		l := m.life
		w.mu.Unlock()
		if l == nil {
			continue
		}
		w.look(l)
		select {
		case <-l.ended:
			if !errors.Is(l.err, storage.ErrCorrupt) {
				w.fail("Run ends with %v, %s", l.err, l.core.host.stopReason)
				return
			}
			w.powerOff(m)
			w.mu.Lock()
			if m.corrupt {
				w.forget(m)
			}
			w.mu.Unlock()
			w.start(m, false)
		default:
		}
	}
}

// whole tells that all members are there and at one on who they are: a store can be lost.
func (w *coreWorld) whole() bool {
	var ids []raft.ID
	var lives []*life
	w.mu.Lock()
	ok := true
	for _, m := range w.machines {
		ok = ok && m.life != nil && !m.corrupt && m.life.p == m.platter
		ids, lives = append(ids, m.platter.id), append(lives, m.life)
	}
	for _, k := range w.links {
		ok = ok && !k.cut
	}
	w.mu.Unlock()
	if !ok {
		return false
	}
	var leader raft.ID
	for _, l := range lives {
		l.core.mu.Lock()
		ms, of, changing := l.core.host.node.Members(), l.core.host.node.Leader(), l.core.host.node.MembershipChangePending()
		l.core.mu.Unlock()
		if of == 0 || leader != 0 && of != leader || changing || len(ms) != len(w.machines) ||
			slices.ContainsFunc(ms, func(x raft.Member) bool { return !x.Voter || !slices.Contains(ids, x.ID) }) {
			return false
		}
		leader = of
	}
	return true
}

// strike has something happen.
func (w *coreWorld) strike() {
	rng := w.rng
	one := w.machines[rng.IntN(len(w.machines))]
	until := time.Now().Add(time.Duration(200+rng.IntN(3000)) * time.Millisecond)
	kind, some, coin := rng.IntN(20), rng.Perm(len(w.machines))[:len(w.machines)/2+1], rng.IntN(3)
	set := func(f func()) {
		w.mu.Lock()
		defer w.mu.Unlock()
		f()
	}
	switch kind {
	case 0, 1: // in the middle of a write, where there is one soon
		for range 100 {
			writes := false
			set(func() { writes = one.life != nil && one.life.pending != nil })
			if writes {
				break
			}
			time.Sleep(time.Millisecond)
		}
		w.powerOff(one)
	case 2:
		w.powerOff(one)
	case 3, 4:
		for _, i := range some {
			defer w.powerOff(w.machines[i])
		}
	case 5, 6:
		w.powerOff(w.machines...)
	case 7:
		set(func() { w.trap = true })
	case 8: // the core falls in two
		set(func() {
			for i, a := range w.machines {
				for j, b := range w.machines {
					if slices.Contains(some, i) != slices.Contains(some, j) {
						w.links[[2]string{a.addr, b.addr}].cut = true
					}
				}
			}
		})
	case 9, 10: // one machine is cut off, or its words alone, or what it hears
		set(func() {
			for _, o := range w.machines {
				if o != one {
					w.links[[2]string{one.addr, o.addr}].cut = coin != 0
					w.links[[2]string{o.addr, one.addr}].cut = coin != 1
				}
			}
		})
	case 11, 12:
		set(func() {
			for _, k := range w.links {
				k.cut, k.slow = false, 0
			}
		})
	case 13:
		set(func() {
			for _, o := range w.machines {
				w.links[[2]string{one.addr, o.addr}].slow = 250 * time.Millisecond
			}
		})
	case 14, 15:
		set(func() { one.fails = until })
	case 16:
		set(func() { one.slow = until })
	case 17, 18:
		if w.whole() {
			w.powerOff(one)
			set(func() { w.forget(one) })
		}
	case 19:
		if w.whole() {
			set(func() { one.corrupt = true })
		}
	}
}
