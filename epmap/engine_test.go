package epmap

import "geraniumpass/proto"

// modelEngine is a minimal engine with caps and grants. It does not check fencing tokens.
type modelEngine struct {
	version    uint64
	step       uint64
	capped     bool
	capMap     uint64
	capStep    uint64
	granted    bool
	ignoresCap bool
}

func (e *modelEngine) Apply(o *proto.Order) (bool, proto.RankState, error) {
	ok := e.apply(o)
	return ok, proto.RankState{
		Version:   e.version,
		Step:      e.step,
		Capped:    e.capped,
		CapMap:    e.capMap,
		CapStep:   e.capStep,
		Granted:   e.granted,
		GrantMap:  e.grantMap(),
		GrantStep: e.capStep,
	}, nil
}

func (e *modelEngine) grantMap() uint64 {
	if e.granted {
		return e.capMap
	}
	return 0
}

func (e *modelEngine) apply(o *proto.Order) bool {
	switch o.Kind {
	case proto.OrderInquire, proto.OrderStage:
		return true
	case proto.OrderCap:
		if e.step > o.Step || e.granted || e.version >= o.Version {
			return false
		}
		if !e.ignoresCap {
			e.capped, e.capMap, e.capStep = true, o.Version, o.Step
		}
		return true
	case proto.OrderUncap:
		if e.capped && e.capMap == o.Version && !e.granted {
			e.capped, e.capMap, e.capStep = false, 0, 0
		}
		return !e.capped
	case proto.OrderGrant:
		if e.version == o.Version {
			return true
		}
		if e.ignoresCap {
			e.capped, e.capMap, e.capStep = true, o.Version, max(o.Step, e.step)
		}
		if !e.capped || e.capMap != o.Version {
			return false
		}
		e.granted = true
		return true
	}
	return false
}

// beginStep starts the next step and returns its map, or false while the rank is capped at that
// step without a grant.
func (e *modelEngine) beginStep() (uint64, bool) {
	if e.capped && e.step >= e.capStep {
		if !e.granted {
			return 0, false
		}
		e.version = e.capMap
		e.capped, e.capMap, e.capStep, e.granted = false, 0, 0, false
	}
	e.step++
	return e.version, true
}
