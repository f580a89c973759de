package core

// Reason is the machine-readable cause of a refusal or a failure.
type Reason string

// Reasons returned by the system. They appear in problem documents as the last part of the type.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonNoService        Reason = "no_such_service"
	ReasonTooLarge         Reason = "too_large"
	ReasonHeaderTooLarge   Reason = "header_too_large"
	ReasonMethodNotAllowed Reason = "method_not_allowed"
	ReasonOverload         Reason = "overload"
	ReasonTargetMissed     Reason = "target_would_be_missed"
	ReasonNoUpstream       Reason = "no_upstream"
	ReasonLeaving          Reason = "leaving"
	ReasonDeadline         Reason = "deadline"
	ReasonStaleDispatch    Reason = "stale_dispatch"
	ReasonOtherIncarnation Reason = "other_incarnation"
	ReasonCancelled        Reason = "cancelled"
	ReasonUpstreamLost     Reason = "upstream_lost"
	ReasonUpstreamRefused  Reason = "upstream_refused"
	ReasonClaimUnchecked   Reason = "claim_unchecked"
	ReasonClaimMoved       Reason = "claim_moved"
	ReasonClaimHolderLost  Reason = "claim_holder_lost"
	ReasonKeyReused        Reason = "idempotency_key_reused"
	ReasonNoConfig         Reason = "no_configuration"
	ReasonStopping         Reason = "stopping"
)
