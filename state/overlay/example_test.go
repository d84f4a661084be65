package overlay_test

import (
	"fmt"

	"github.com/mulberrylink/mulberrylink/state/overlay"
)

// An overlay takes a failure domain out of service.
func ExampleMerge() {
	base := overlay.File{Name: "base.ini", Data: []byte(
		"[domain d1]\nregion = delta\n[service registry]\ntimeout = 2s\n[route registry GET /grades]\n")}
	site := overlay.File{Name: "site-d1.ini", Data: []byte("[domain d1]\nstate = out\n")}
	cfg, err := overlay.Merge(base, []overlay.File{site})
	fmt.Println(cfg.DomainOut("d1"), err)

	_, err = overlay.Merge(base, []overlay.File{{Name: "site-d1.ini", Data: []byte("[domain d1]\nstat = out\n")}})
	fmt.Println(err)
	// Output:
	// true <nil>
	// site-d1.ini:2: section "domain d1" key "stat": unknown key; did you mean "state"?
}
