package operator

import (
	"slices"

	"github.com/marblering/marblering/coordination/configuration"
)

// bodyField is a field that commands may set in an object's body.
type bodyField struct {
	name string
	kind Kind
	// parent is the JSON object that holds the field; empty for the body.
	parent string
}

// bodyFields returns the fields of a kind of object; the configuration's own
// checks say which values they may have.
func bodyFields(kind configuration.Kind) []bodyField {
	switch kind {
	case configuration.KindTenant:
		return []bodyField{
			{name: "api_key_sha256", kind: KindList},
			{name: "weight", kind: KindNumber},
			{name: "max_concurrent_programs", kind: KindInteger, parent: "limits"},
			{name: "max_concurrent_calls", kind: KindInteger, parent: "limits"},
			{name: "tokens_per_minute", kind: KindInteger, parent: "limits"},
		}
	case configuration.KindModel:
		return []bodyField{
			{name: "context_tokens", kind: KindInteger},
			{name: "default_max_tokens", kind: KindInteger},
		}
	case configuration.KindAdapter:
		return []bodyField{{name: "model", kind: KindText}}
	case configuration.KindPool:
		return []bodyField{
			{name: "zones", kind: KindList},
			{name: "models", kind: KindList},
			{name: "roles", kind: KindList},
			{name: "minimum_engines", kind: KindInteger},
		}
	case configuration.KindEngine:
		return []bodyField{
			{name: "address", kind: KindText},
			{name: "zone", kind: KindText},
			{name: "generation", kind: KindText},
			{name: "pool", kind: KindText},
			{name: "role", kind: KindText},
			{name: "models", kind: KindList},
			{name: "adapters", kind: KindList},
		}
	case configuration.KindWeights:
		return []bodyField{
			{name: "latency", kind: KindNumber},
			{name: "wasted_cache", kind: KindNumber},
		}
	case configuration.KindLimits:
		return []bodyField{
			{name: "max_request_bytes", kind: KindInteger},
			{name: "default_deadline", kind: KindDuration},
			{name: "default_idle_limit", kind: KindDuration},
			{name: "default_turn_limit", kind: KindInteger},
			{name: "max_attempts", kind: KindInteger},
		}
	default:
		return nil
	}
}

// rule says what a verb may do with a kind of object.
type rule struct {
	verb string
	kind configuration.Kind
	// fields are the names of the fields it takes; nil for none.
	fields []string
	// flag is a boolean field of the body that the verb sets to value.
	flag  string
	value bool
	// create lets the object be absent, with expected version 0.
	create bool
	// mustCreate refuses an object that exists.
	mustCreate bool
	remove     bool
}

// Verbs of the language.
const (
	verbAdd     = "add"
	verbSet     = "set"
	verbDrain   = "drain"
	verbUndrain = "undrain"
	verbReshape = "reshape"
	verbStop    = "stop"
	verbStart   = "start"
	verbRemove  = "remove"
)

func verbNames() []string {
	return []string{verbAdd, verbSet, verbDrain, verbUndrain, verbReshape, verbStop, verbStart, verbRemove}
}

// programSubject is the one subject that isn't an object of the configuration.
const programSubject = "program"

// Fields of an engine's or node's body that verbs set.
const (
	drainingField = "draining"
	stoppedField  = "stopped"
)

// rules returns all that commands may do to objects.
func rules() []rule {
	const (
		engine = configuration.KindEngine
		node   = configuration.KindNode
		pool   = configuration.KindPool
	)
	result := []rule{
		{verb: verbDrain, kind: engine, flag: drainingField, value: true},
		{verb: verbUndrain, kind: engine, flag: drainingField, value: false},
		{verb: verbDrain, kind: node, flag: drainingField, value: true, create: true},
		{verb: verbUndrain, kind: node, flag: drainingField, value: false, create: true},
		{verb: verbStop, kind: engine, flag: stoppedField, value: true},
		{verb: verbStart, kind: engine, flag: stoppedField, value: false},
		{verb: verbReshape, kind: engine, fields: []string{"role", "models", "adapters"}},
		{verb: verbReshape, kind: pool, fields: []string{"roles", "models", "zones", "minimum_engines"}},
		{verb: verbSet, kind: engine, fields: []string{"address", "zone", "generation", "pool"}},
	}
	for _, kind := range []configuration.Kind{engine, pool, configuration.KindModel, configuration.KindAdapter, configuration.KindTenant} {
		result = append(result,
			rule{verb: verbAdd, kind: kind, fields: fieldNames(kind), create: true, mustCreate: true},
			rule{verb: verbRemove, kind: kind, remove: true})
	}
	for _, kind := range []configuration.Kind{configuration.KindModel, configuration.KindAdapter, configuration.KindTenant} {
		result = append(result, rule{verb: verbSet, kind: kind, fields: fieldNames(kind)})
	}
	for _, kind := range []configuration.Kind{configuration.KindWeights, configuration.KindLimits} {
		result = append(result, rule{verb: verbSet, kind: kind, fields: fieldNames(kind), create: true})
	}
	return result
}

func fieldNames(kind configuration.Kind) []string {
	var names []string
	for _, field := range bodyFields(kind) {
		names = append(names, field.name)
	}
	return names
}

// subjectsOf returns the kinds that a verb may be used with.
func subjectsOf(verb string) []string {
	var names []string
	for _, rule := range rules() {
		if rule.verb == verb {
			names = append(names, string(rule.kind))
		}
	}
	if verb == verbStop {
		names = append(names, programSubject)
	}
	slices.Sort(names)
	return names
}
