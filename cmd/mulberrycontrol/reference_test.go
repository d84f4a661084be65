package main

import (
	"testing"

	"github.com/mulberrylink/mulberrylink/state/settings/settingstest"
)

// Guards against a settings reference in docs/OPERATIONS.md that differs from the settings struct.
func TestSettingsReference(t *testing.T) {
	settingstest.CheckReference(t, "../../docs/OPERATIONS.md", "Settings of mulberrycontrol", settingsFile{})
}
