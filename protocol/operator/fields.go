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

// bodyFields are the fields of each kind of object. The configuration checks their
// values.
var bodyFields = map[configuration.Kind][]bodyField{
	configuration.KindTenant: {
		{name: "api_key_sha256", kind: KindList},
		{name: "weight", kind: KindNumber},
		{name: "max_concurrent_programs", kind: KindInteger, parent: "limits"},
		{name: "max_concurrent_calls", kind: KindInteger, parent: "limits"},
		{name: "tokens_per_minute", kind: KindInteger, parent: "limits"},
	},
	configuration.KindModel: {
		{name: "context_tokens", kind: KindInteger},
		{name: "default_max_tokens", kind: KindInteger},
	},
	configuration.KindAdapter: {{name: "model", kind: KindText}},
	configuration.KindPool: {
		{name: "zones", kind: KindList},
		{name: "models", kind: KindList},
		{name: "roles", kind: KindList},
		{name: "minimum_engines", kind: KindInteger},
	},
	configuration.KindEngine: {
		{name: "address", kind: KindText},
		{name: "zone", kind: KindText},
		{name: "generation", kind: KindText},
		{name: "pool", kind: KindText},
		{name: "role", kind: KindText},
		{name: "models", kind: KindList},
		{name: "adapters", kind: KindList},
	},
	configuration.KindWeights: {
		{name: "latency", kind: KindNumber},
		{name: "wasted_cache", kind: KindNumber},
	},
	configuration.KindLimits: {
		{name: "max_request_bytes", kind: KindInteger},
		{name: "default_deadline", kind: KindDuration},
		{name: "default_idle_limit", kind: KindDuration},
		{name: "default_turn_limit", kind: KindInteger},
		{name: "max_attempts", kind: KindInteger},
	},
}

// rule says what a verb may do with a kind of object.
type rule struct {
	verb string
	kind configuration.Kind
	// fields are the names of the fields that the command takes; nil for none.
	fields []string
	// flag is a boolean field of the body that the command sets to value; empty
	// for none.
	flag  string
	value bool
	// create allows an object that doesn't exist, with expected version 0.
	create bool
	// mustCreate refuses an object that exists.
	mustCreate bool
	// remove is set where the command removes the object.
	remove bool
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

// rules returns what commands may do to objects.
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
	for _, field := range bodyFields[kind] {
		names = append(names, field.name)
	}
	return names
}

// subjectsOf returns what a verb may be used with.
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
