package discovery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"example.org/elmspan/api"
)

func server(id, state string) api.Server {
	return api.Server{ID: id, Upstream: "s", Addr: "10.0.0.1:80", Zone: "z", Capacity: 2, State: state}
}

func states(r *EndpointList) map[string]string {
	out := map[string]string{}
	for s := range r.All {
		out[s.ID] = s.State
	}
	return out
}

// What was seen draining is not taken for ready by an answer that is older, nor
// what was gone; one that only slipped from a page is there again. (Found by the
// users: a machine that was being emptied got work again after the process that
// asks the platform had died and come back.)
func TestNothingComesBack(t *testing.T) {
	var r EndpointList
	steps := []struct {
		answer      []api.Server
		want        string
		news, doubt bool
	}{
		{[]api.Server{server("a", api.InService), server("b", api.InService)}, "map[a:in_service b:in_service]", true, false},
		{[]api.Server{server("a", api.Draining), server("b", api.InService)}, "map[a:draining b:in_service]", true, false},
		{[]api.Server{server("a", api.InService), server("b", api.InService)}, "map[a:draining b:in_service]", false, false},
		{[]api.Server{server("a", api.Draining)}, "map[a:draining b:in_service]", false, true},
		{[]api.Server{server("a", api.Draining), server("b", api.InService)}, "map[a:draining b:in_service]", false, false},
		{[]api.Server{server("b", api.InService)}, "map[b:in_service]", true, false},
		{[]api.Server{server("a", api.InService), server("b", api.InService)}, "map[b:in_service]", false, false},
		{[]api.Server{server("c", api.InService)}, "map[b:in_service c:in_service]", true, true},
		{[]api.Server{server("c", api.InService)}, "map[c:in_service]", true, false},
		{[]api.Server{server("b", api.InService), server("c", api.InService)}, "map[c:in_service]", false, false},
	}
	for i, s := range steps {
		news, doubt := r.Merge(float64(i), s.answer)
		if got := fmt.Sprint(states(&r)); got != s.want || news != s.news || doubt != s.doubt {
			t.Fatalf("step %d: %s, news %v, doubt %v; want %+v", i, got, news, doubt, s)
		}
	}
}

// Whatever order answers come in, and from whichever of two that ask: each
// server's life goes one way at whoever merges them.
func TestLivesGoOneWay(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		var answers [][]api.Server // in true order
		life := map[string]int{}
		for step := range 30 {
			if step < 10 {
				life[fmt.Sprint("s", step)] = 0
			}
			var now []api.Server
			for id, at := range life {
				if rng.IntN(6) == 0 && at < 2 {
					life[id]++
				}
				if life[id] < 2 {
					now = append(now, server(id, []string{api.InService, api.Draining}[life[id]]))
				}
			}
			answers = append(answers, now)
		}
		var r EndpointList
		rank := map[string]int{}
		for i := range answers {
			r.Merge(float64(i), answers[max(0, i-rng.IntN(4))]) // some answers are late
			got := states(&r)
			for id, at := range rank {
				state, is := got[id]
				is1 := slices.Index([]string{api.InService, api.Draining}, state)
				if !is {
					is1 = 2
				}
				if is1 < at && at != 0 {
					t.Fatalf("seed %d: %s went from %d to %q", seed, id, at, state)
				}
			}
			for id := range life {
				switch state, is := got[id]; {
				case !is && rank[id] != 0:
					rank[id] = 2
				case state == api.Draining:
					rank[id] = 1
				}
			}
		}
	}
}

// Servers without end leave a bounded memory.
func TestLatchIsBounded(t *testing.T) {
	var l OneWayStates
	for i := range 3 * mostLatched {
		l.MarkRemoved(fmt.Sprint(i))
	}
	if len(l.seen) > mostLatched || len(l.order) > mostLatched {
		t.Errorf("%d, %d", len(l.seen), len(l.order))
	}
}
