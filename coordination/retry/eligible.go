package retry

import "github.com/mulberrylink/mulberrylink"

// Eligible reports whether the result of an attempt permits another one, regardless of the
// budget.
func Eligible(r *mulberrylink.Request, res mulberrylink.Result) bool {
	switch res.Outcome {
	case mulberrylink.NotRun:
		return retryableElsewhere(res.Reason)
	case mulberrylink.Unknown:
		return r.Idempotent && repeatable(res.Reason)
	default:
		return false
	}
}

// retryableElsewhere reports whether another node may accept a request that was rejected for
// the reason.
func retryableElsewhere(reason mulberrylink.Reason) bool {
	switch reason {
	case mulberrylink.ReasonDeadline,
		mulberrylink.ReasonCanceled,
		mulberrylink.ReasonCrasher,
		mulberrylink.ReasonNoQuorum,
		mulberrylink.ReasonConflict,
		mulberrylink.ReasonPending,
		mulberrylink.ReasonClaimed,
		mulberrylink.ReasonDepth,
		mulberrylink.ReasonBadRequest,
		mulberrylink.ReasonBadKey,
		mulberrylink.ReasonTooLarge,
		mulberrylink.ReasonNoService,
		mulberrylink.ReasonNoRoute:
		return false
	default:
		return true
	}
}

// repeatable reports whether an idempotent request may run again. A request that was in
// flight when its upstream crashed may not, because it may be the cause.
func repeatable(reason mulberrylink.Reason) bool {
	switch reason {
	case mulberrylink.ReasonCrashed,
		mulberrylink.ReasonCanceled,
		mulberrylink.ReasonDeadline,
		mulberrylink.ReasonPending,
		mulberrylink.ReasonClaimed:
		return false
	default:
		return true
	}
}
