package control_test

import (
	"fmt"

	"github.com/mulberrylink/mulberrylink/coordination/control"
)

// A claim is granted to one request. The same request may ask for it again; another request is
// told that the claim is pending.
func ExampleMachine() {
	m := control.NewMachine()
	claim := func(index uint64, requestID string) {
		data := control.Encode(control.Command{Now: int64(index), Claim: &control.ClaimCommand{
			Service: "registry", Key: "filing-7", Fingerprint: 42,
			Holder: "node-1", RequestID: requestID, Deadline: 1_000_000,
		}})
		res, err := control.DecodeResult(m.Apply(index, data))
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(requestID, res.Code)
	}
	claim(1, "a")
	claim(2, "a")
	claim(3, "b")
	// Output:
	// a granted
	// a granted
	// b pending
}
