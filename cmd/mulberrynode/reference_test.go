package main

import (
	"testing"

	"github.com/mulberrylink/mulberrylink/state/settings/settingstest"
)

// Guards against a settings reference in docs/OPERATIONS.md that differs from the code.
func TestSettingsReference(t *testing.T) {
	settingstest.CheckReference(t, "../../docs/OPERATIONS.md", "Settings of mulberrynode", nodeSettings{})
}
