package retry_test

import (
	"fmt"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/retry"
)

func ExampleBudgets() {
	c := &clock{now: time.Unix(1000, 0)}
	b := retry.New(retry.Config{Clock: c, Reserve: 1, Percent: func(string) int { return 50 }})
	r := &mulberrylink.Request{Service: "registry"}

	b.RecordRequest(r)
	b.RecordRequest(r)
	fmt.Println("share:", b.AllowRetry(r, busy, 0))
	fmt.Println("reserve:", b.AllowRetry(r, busy, 0))
	fmt.Println("nothing left:", b.AllowRetry(r, busy, 0))
	fmt.Println("may have run:", b.AllowRetry(r, silent, 0))
	// Output:
	// share: true
	// reserve: true
	// nothing left: false
	// may have run: false
}
