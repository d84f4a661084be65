package suspect_test

import (
	"fmt"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/suspect"
)

func ExampleList() {
	l := suspect.New(suspect.Config{Clock: &clock{now: time.Unix(1000, 0)}})
	const crashing, innocent = 7, 8

	l.RecordCrash([]uint64{crashing, innocent})
	fmt.Println("after the first death:", l.Verdict(crashing), l.Verdict(innocent))

	l.RecordCompletion(innocent, true)
	l.RecordCrash([]uint64{crashing})
	fmt.Println("after both ran alone:", l.Verdict(crashing), l.Verdict(innocent))
	// Output:
	// after the first death: alone alone
	// after both ran alone: refuse normal
}
