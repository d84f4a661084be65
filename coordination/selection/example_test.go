package selection_test

import (
	"fmt"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/selection"
)

func ExamplePicker() {
	c := &clock{now: time.Unix(1000, 0)}
	p := selection.NewPicker(selection.Config{
		Clock:  c,
		Rand:   random(1),
		Nodes:  &nodeSource{nodes: nodes(2, 2)}, // n0 in d0, n1 in d1
		Domain: "d1",
	})
	n, _ := p.Pick(request, nil)
	fmt.Println("idle:", n.Name)
	p.Observe(n.Name, mulberrylink.Result{
		Outcome: mulberrylink.NotRun,
		Reason:  mulberrylink.ReasonDraining,
		Load:    mulberrylink.Load{InFlight: 1},
	}, time.Millisecond)
	n, _ = p.Pick(request, nil)
	fmt.Println("after a rejection:", n.Name)
	// Output:
	// idle: n1
	// after a rejection: n0
}
