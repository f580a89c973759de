package proto

import (
	"geraniumpass/core"
	"geraniumpass/crash"
	"geraniumpass/quota"
)

// UpdateRequest requests state newer than revision Rev and table version Table from a peer. The peer
// waits up to WaitMs milliseconds for a change.
type UpdateRequest struct {
	Rev    int64 `cbor:"1,keyasint"`
	Table  int64 `cbor:"2,keyasint"`
	WaitMs int64 `cbor:"3,keyasint"`
	// TerminationsAfter is TerminationsUpTo of the peer's last update on this link, or zero before
	// the first.
	TerminationsAfter int64 `cbor:"4,keyasint,omitempty"`
	// LimitsAfter is LimitsUpTo of the peer's last update on this link, or zero before the first.
	LimitsAfter int64 `cbor:"5,keyasint,omitempty"`
	// LeavingAfter is LeavingUpTo of the peer's last update on this link, or zero before the first.
	LeavingAfter int64 `cbor:"6,keyasint,omitempty"`
	// AcceptsDelta reports that the requester understands updates with Delta set.
	AcceptsDelta bool `cbor:"7,keyasint,omitempty"`
	// OmitTable asks for the version of a newer table only, because the requester expects the table
	// from another peer.
	OmitTable bool `cbor:"8,keyasint,omitempty"`
	// Era is the store's era of Rev. KnowsEra is set by requesters that compare eras; for others it is
	// taken to be the era of the peer.
	Era      int64 `cbor:"9,keyasint,omitempty"`
	KnowsEra bool  `cbor:"10,keyasint,omitempty"`
	// AcceptsObservations reports that the requester merges observations and sends its own.
	// ObservationsAfter is ObservationsUpTo of the peer's last update on this link, or zero before the
	// first.
	AcceptsObservations bool  `cbor:"11,keyasint,omitempty"`
	ObservationsAfter   int64 `cbor:"12,keyasint,omitempty"`
	// Observations are those of the requester that it hasn't sent on this link yet: most entries poll but
	// aren't polled.
	Observations []crash.Observation `cbor:"13,keyasint,omitempty"`
	// AcceptsEvacuations reports that the requester understands Evacuations. EvacuationsRev is the revision up
	// to which it knows them, with its era.
	AcceptsEvacuations bool  `cbor:"14,keyasint,omitempty"`
	EvacuationsRev     int64 `cbor:"15,keyasint,omitempty"`
}

// Evacuations are the failure domains that are being evacuated at a revision, given with its era.
type Evacuations struct {
	Rev     int64    `cbor:"1,keyasint"`
	Domains []string `cbor:"2,keyasint,omitempty"`
}

// Update answers an UpdateRequest with the peer's revision and the state that is newer than
// requested.
type Update struct {
	Rev int64 `cbor:"1,keyasint"`
	// From is the id of the peer, set by the receiver.
	From string `cbor:"-"`
	// Table is a routing table, empty when the requester already has it.
	Table []byte `cbor:"2,keyasint,omitempty"`
	// TableVersion is the version of the peer's table, zero if it has none.
	TableVersion int64 `cbor:"20,keyasint,omitempty"`
	// Confirmed reports that the peer's state was the store's UnconfirmedMs ago, counted from when the
	// update was sent, which was HeldMs after the request arrived.
	Confirmed     bool  `cbor:"21,keyasint,omitempty"`
	UnconfirmedMs int64 `cbor:"22,keyasint,omitempty"`
	HeldMs        int64 `cbor:"23,keyasint,omitempty"`
	// Instances and Members are complete if Newer is set and Delta is not.
	Newer     bool              `cbor:"3,keyasint,omitempty"`
	Instances []byte            `cbor:"4,keyasint,omitempty"`
	Members   map[string]string `cbor:"5,keyasint,omitempty"`
	// Lapsed names the instances that are retained although their entry has disappeared.
	Lapsed []string `cbor:"6,keyasint,omitempty"`
	// LapsedForMs holds for how much longer the peer retains them, where it knows.
	LapsedForMs map[string]int64 `cbor:"31,keyasint,omitempty"`
	// Terminations are the instance terminations after those requested; TerminationsUpTo is the
	// peer's number of the last one.
	Terminations     []crash.Termination `cbor:"7,keyasint,omitempty"`
	TerminationsUpTo int64               `cbor:"8,keyasint,omitempty"`
	// Paces lists the slow instances by group, complete if Newer is set and Delta is not.
	Paces map[string][]core.Pace `cbor:"9,keyasint,omitempty"`
	// Limits are the limits reported by instances after those requested; LimitsUpTo is the peer's
	// number of the last one.
	Limits     []quota.Notice `cbor:"10,keyasint,omitempty"`
	LimitsUpTo int64          `cbor:"11,keyasint,omitempty"`
	// Leaving lists the incarnations of leaving instances after those requested; LeavingUpTo is the
	// peer's number of the last one.
	Leaving     []core.Start `cbor:"12,keyasint,omitempty"`
	LeavingUpTo int64        `cbor:"13,keyasint,omitempty"`
	// Observations are those of requests with prompt segments after those requested; ObservationsUpTo is
	// the peer's number of the last one.
	Observations     []crash.Observation `cbor:"28,keyasint,omitempty"`
	ObservationsUpTo int64               `cbor:"29,keyasint,omitempty"`
	// Evacuated lists the failure domains that are being evacuated, complete if Newer is set and either
	// Delta is not or AllEvacuated is.
	Evacuated    []string `cbor:"14,keyasint,omitempty"`
	AllEvacuated bool     `cbor:"27,keyasint,omitempty"`
	// Evacuations is set if the peer knows them up to a later revision than the rest of its state.
	Evacuations *Evacuations `cbor:"30,keyasint,omitempty"`
	// Delta is set if the lists contain only what changed after revision After, which is that of the
	// request. InstancesRemoved, MembersRemoved and EvacuationsEnded then name what is gone.
	Delta            bool     `cbor:"15,keyasint,omitempty"`
	After            int64    `cbor:"19,keyasint,omitempty"`
	InstancesRemoved []string `cbor:"16,keyasint,omitempty"`
	MembersRemoved   []string `cbor:"17,keyasint,omitempty"`
	EvacuationsEnded []string `cbor:"18,keyasint,omitempty"`
	// Era is the store's era of Rev, After and the instances' revisions.
	Era int64 `cbor:"25,keyasint,omitempty"`
	// Packed is set if the table, and the instances unless Delta is set, are packed.
	Packed bool `cbor:"24,keyasint,omitempty"`
	// Refused are the parts of the newest manifest that the peer can't serve. They come with a newer
	// revision or table.
	Refused []string `cbor:"26,keyasint,omitempty"`
}
