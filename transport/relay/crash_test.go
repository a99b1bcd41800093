package relay_test

import (
	"context"

	"github.com/marblering/marblering/coordination/quarantine"
)

// noCrashes knows of no crash.
type noCrashes struct{}

func (noCrashes) NeedsCheck() bool                                    { return false }
func (noCrashes) Crashes(context.Context, quarantine.Fingerprint) int { return 0 }
func (noCrashes) Report(context.Context, quarantine.Crash) int        { return 0 }
func (noCrashes) Completed(context.Context, quarantine.Fingerprint)   {}
