package docs_test

import (
	"os"
	"strings"
	"testing"

	"github.com/mulberrylink/mulberrylink"
)

// Guards against a reason that callers can get and the page does not explain.
func TestEveryReasonIsInTheTable(t *testing.T) {
	data, err := os.ReadFile("callers.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range mulberrylink.Reasons() {
		if r != mulberrylink.ReasonNone && !strings.Contains(string(data), "\n| `"+r.String()+"` |") {
			t.Errorf("reason %s has no row", r)
		}
	}
}
