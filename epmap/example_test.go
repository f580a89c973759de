package epmap_test

import (
	"fmt"

	"geraniumpass/epmap"
	"geraniumpass/proto"
)

// engine is a rank that executes every order immediately.
type engine struct {
	state proto.RankState
}

func (e *engine) Apply(o *proto.Order) (bool, proto.RankState, error) {
	switch o.Kind {
	case proto.OrderCap:
		e.state.Capped, e.state.CapMap, e.state.CapStep = true, o.Version, o.Step
	case proto.OrderGrant:
		e.state.Granted, e.state.GrantMap = true, o.Version
	}
	return true, e.state, nil
}

func ExampleLeader() {
	const ranks = 3
	leader := epmap.NewLeader(1, ranks)
	guards := make([]epmap.Guard, ranks)
	engines := make([]engine, ranks)
	for leader.Phase != epmap.PhaseGrant {
		fmt.Println(leader.Phase)
		if leader.Phase == epmap.PhaseSteady {
			leader.Propose([]byte("the new map"), 0)
			continue
		}
		for r := range ranks {
			reply, err := guards[r].Handle(leader.Order(r), &engines[r])
			if err == nil {
				leader.Handle(r, &reply)
			}
		}
	}
	fmt.Println(leader.Phase)
	// Output:
	// inquire
	// steady
	// stage
	// cap
	// grant
}
