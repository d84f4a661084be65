package suspect_test

import (
	"fmt"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/suspect"
)

func ExampleList() {
	l := suspect.New(suspect.Config{Clock: &clock{now: time.Unix(1000, 0)}})
	const crashing, harmless = 7, 8

	l.RecordCrash([]uint64{crashing, harmless})
	fmt.Println("after the first crash:", l.Verdict(crashing), l.Verdict(harmless))

	l.RecordCompletion(harmless, true)
	l.RecordCrash([]uint64{crashing})
	fmt.Println("after both ran alone:", l.Verdict(crashing), l.Verdict(harmless))
	// Output:
	// after the first crash: alone alone
	// after both ran alone: refuse normal
}
