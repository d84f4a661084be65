package dispatch_test

import (
	"context"
	"fmt"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/dispatch"
)

func ExampleDispatcher() {
	forwarder := &forwarder{steps: []step{
		{outcome: mulberrylink.NotRun, reason: mulberrylink.ReasonDraining},
		{outcome: mulberrylink.Answered, status: 200},
	}}
	d := dispatch.New(dispatch.Config{
		Clock:     clock{},
		Forwarder: forwarder,
		Picker:    &picker{nodes: []string{"n1", "n2"}, unobserved: map[string]int{}},
		Suspects:  &suspects{},
		Budget:    &budget{left: 1},
	})
	r := &mulberrylink.Request{ID: "r1", Service: "registry", Deadline: time.Now().Add(time.Second)}

	res := d.Do(context.Background(), r)
	defer res.Answer.Body.Close()
	fmt.Println(res.Outcome, "by", res.Node, "after", len(forwarder.nodes), "attempts")
	// Output:
	// answered by n2 after 2 attempts
}
