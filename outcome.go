package mulberrylink

//go:generate stringer -type=Outcome,Reason -linecomment -output=outcome_string.go

// Outcome tells a caller whether its request was answered and, if not, whether it may have run.
type Outcome uint8

// Outcomes of a request. Answered comes with the response of an upstream. NotRun states that no
// upstream has started the request, so that it is safe to send it again. Unknown states that the
// request may have run.
const (
	Answered Outcome = iota // answered
	NotRun                  // notrun
	Unknown                 // unknown
)

// Reason explains an outcome other than Answered. Its String method returns the value of the
// Mulberry-Reason header and the suffix of the metric that counts the reason.
type Reason uint8

// Reasons for a request that was not run or whose outcome is unknown.
const (
	ReasonNone       Reason = iota // none
	ReasonBusy                     // busy
	ReasonCold                     // cold
	ReasonDraining                 // draining
	ReasonLeaving                  // leaving
	ReasonDomainOut                // domainout
	ReasonIsolated                 // isolated
	ReasonNoConfig                 // noconfig
	ReasonNoUpstream               // noupstream
	ReasonConnect                  // connect
	ReasonShed                     // shed
	ReasonDeadline                 // deadline
	ReasonBudget                   // budget
	ReasonFenced                   // fenced
	ReasonCrasher                  // crasher
	ReasonNoQuorum                 // noquorum
	ReasonConflict                 // conflict
	ReasonPending                  // pending
	ReasonClaimed                  // claimed
	ReasonLost                     // lost
	ReasonSilent                   // silent
	ReasonCrashed                  // crashed
	ReasonCanceled                 // canceled
	ReasonTruncated                // truncated
	ReasonDepth                    // depth
	ReasonBadRequest               // badrequest
	ReasonBadKey                   // badkey
	ReasonTooLarge                 // toolarge
	ReasonNoService                // noservice
	ReasonNoRoute                  // noroute
	ReasonMemory                   // memory
	ReasonUnknownKey               // unknownkey
	ReasonLeaseEnded               // leaseended
	ReasonOverQuota                // overquota
	ReasonNoQuota                  // noquota
	reasonCount                    // count
)

// Reasons returns all reasons, including ReasonNone, so that a program can register a counter for
// each.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := ReasonNone; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}
