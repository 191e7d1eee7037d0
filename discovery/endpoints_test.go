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

// inService and draining return a server in that state.
func inService(id string) api.Server { return server(id, api.InService) }
func draining(id string) api.Server  { return server(id, api.Draining) }

// states returns the state of each server of a list, by ID.
func states(l *EndpointList) map[string]string {
	out := map[string]string{}
	for s := range l.All {
		out[s.ID] = s.State
	}
	return out
}

// A stale response does not put a draining server back in service or bring a removed one back.
// A server in service that is missing from a single response stays in the list. Without this, a
// draining machine received requests again after the process that queries the platform had restarted.
func TestRemovedServersStayRemoved(t *testing.T) {
	var l EndpointList
	steps := []struct {
		response           []api.Server
		want               string
		changed, uncertain bool
	}{
		{[]api.Server{inService("a"), inService("b")}, "map[a:in_service b:in_service]", true, false},
		{[]api.Server{draining("a"), inService("b")}, "map[a:draining b:in_service]", true, false},
		{[]api.Server{inService("a"), inService("b")}, "map[a:draining b:in_service]", false, false},
		{[]api.Server{draining("a")}, "map[a:draining b:in_service]", false, true},
		{[]api.Server{draining("a"), inService("b")}, "map[a:draining b:in_service]", false, false},
		{[]api.Server{inService("b")}, "map[b:in_service]", true, false},
		{[]api.Server{inService("a"), inService("b")}, "map[b:in_service]", false, false},
		{[]api.Server{inService("c")}, "map[b:in_service c:in_service]", true, true},
		{[]api.Server{inService("c")}, "map[c:in_service]", true, false},
		{[]api.Server{inService("b"), inService("c")}, "map[c:in_service]", false, false},
	}
	for i, s := range steps {
		changed, uncertain := l.Merge(float64(i), s.response)
		if got := fmt.Sprint(states(&l)); got != s.want || changed != s.changed || uncertain != s.uncertain {
			t.Fatalf("step %d: %s, changed %v, uncertain %v; want %+v", i, got, changed, uncertain, s)
		}
	}
}

// The stages of a server's life cycle, in order.
const (
	stageInService = iota
	stageDraining
	stageRemoved
)

// randomResponses returns random responses in chronological order, and the final stage of each
// server by ID.
func randomResponses(rng *rand.Rand) (responses [][]api.Server, stages map[string]int) {
	stages = map[string]int{}
	for step := range 30 {
		if step < 10 {
			stages[fmt.Sprint("s", step)] = stageInService
		}
		var response []api.Server
		for id, stage := range stages {
			if rng.IntN(6) == 0 && stage < stageRemoved {
				stages[id]++
			}
			if stages[id] < stageRemoved {
				response = append(response, server(id, []string{api.InService, api.Draining}[stages[id]]))
			}
		}
		responses = append(responses, response)
	}
	return responses, stages
}

// stageOf returns the stage of a server in a list.
func stageOf(list map[string]string, id string) int {
	state, ok := list[id]
	if !ok {
		return stageRemoved
	}
	return slices.Index([]string{api.InService, api.Draining}, state)
}

// If responses are merged out of order, as from two processes that query the platform, the state
// of each server in the merged list still moves only forward.
func TestStatesMoveOneWay(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		responses, finalStages := randomResponses(rng)
		var l EndpointList
		latest := map[string]int{} // the latest stage observed in the list
		for i := range responses {
			l.Merge(float64(i), responses[max(0, i-rng.IntN(4))]) // some responses are stale
			got := states(&l)
			for id, stage := range latest {
				if now := stageOf(got, id); now < stage && stage != stageInService {
					t.Fatalf("seed %d: %s went from stage %d to %q", seed, id, stage, got[id])
				}
			}
			for id := range finalStages {
				switch stage := stageOf(got, id); {
				case stage == stageRemoved && latest[id] != stageInService:
					latest[id] = stageRemoved
				case stage == stageDraining:
					latest[id] = stageDraining
				}
			}
		}
	}
}

// The number of remembered servers is bounded.
func TestOneWayStatesAreBounded(t *testing.T) {
	var o OneWayStates
	for i := range 3 * maxRemembered {
		o.MarkRemoved(fmt.Sprint(i))
	}
	if len(o.removed) > maxRemembered || len(o.order) > maxRemembered {
		t.Errorf("%d servers are remembered, %d in order of age", len(o.removed), len(o.order))
	}
}
