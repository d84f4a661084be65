package placement_test

import (
	"testing"

	"github.com/mulberrylink/mulberrylink/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }
