package admission_test

import (
	"context"
	"fmt"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/admission"
)

func ExampleGate() {
	g := admission.New(admission.Config{Clock: clock{}})
	r := &mulberrylink.Request{Service: "registry"}

	_, reason := g.Acquire(context.Background(), r, false)
	fmt.Println("before the first announcement:", reason)

	g.Announce(6, 200, mulberrylink.UpstreamUp, 1)
	p, _ := g.Acquire(context.Background(), r, false)
	fmt.Println("in flight:", g.Load().InFlight, "limit:", g.Load().Limit)
	p.Done(admission.Completion{Class: admission.Success})

	g.Block(mulberrylink.ReasonLeaving)
	_, reason = g.Acquire(context.Background(), r, false)
	fmt.Println("at shutdown:", reason)
	// Output:
	// before the first announcement: noupstream
	// in flight: 1 limit: 1
	// at shutdown: leaving
}
