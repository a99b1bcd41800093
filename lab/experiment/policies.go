package experiment

import (
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/routing"
)

// Names of the policies.
const (
	Marblering       = "marblering"
	LeastOutstanding = "least-outstanding"
	SessionAffinity  = "session-affinity"
)

// PolicyNames lists the policies, baselines first.
func PolicyNames() []string { return append(baselineNames(), Marblering) }

func baselineNames() []string {
	return []string{SessionAffinity, LeastOutstanding}
}

// namedPolicy makes a policy for a simulation.
type namedPolicy struct {
	name string
	make func(*simulation) policy
}

func findPolicy(name string, weights routing.Weights) (namedPolicy, error) {
	switch name {
	case Marblering:
		return namedPolicy{name, newMarblering(weights)}, nil
	case LeastOutstanding:
		return namedPolicy{name, newLeastOutstanding}, nil
	case SessionAffinity:
		return namedPolicy{name, newSessionAffinity}, nil
	}
	return namedPolicy{}, merry.Errorf("policy %q is unknown: known are %s", name, strings.Join(PolicyNames(), ", "))
}
