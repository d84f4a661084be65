package mulberrylink

//go:generate stringer -type=Outcome,Reason -linecomment -output=outcome_string.go

// Outcome tells a caller what became of its request.
type Outcome uint8

// Outcomes of a request.
const (
	Answered Outcome = iota // answered
	NotRun                  // notrun
	Unknown                 // unknown
)

// Reason explains an outcome that is not Answered. Its String is the value of
// the Mulberry-Reason header and the suffix of the counter that counts it.
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
	reasonCount                    // count
)

// Reasons returns every reason, for programs that register one counter each.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := ReasonNone; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}
