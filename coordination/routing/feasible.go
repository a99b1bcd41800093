package routing

import (
	"slices"
)

// feasible returns the first filter that rejects the engine for the request.
func feasible(engine *EngineState, request *Request) Filter {
	switch {
	case engine.Leaving:
		return FilterLeaving
	case engine.Ejected:
		return FilterEjected
	case request.excludes(engine.Name):
		return FilterExcluded
	case !servesRole(engine.Role, request.Role):
		return FilterRole
	case !slices.Contains(engine.Models, request.Model):
		return FilterModel
	case request.Adapter != "" && !slices.Contains(engine.Adapters, request.Adapter):
		return FilterAdapter
	case !fitsMemory(engine, request):
		return FilterMemory
	}
	return FilterNone
}

func servesRole(offered, wanted string) bool {
	if offered == "" {
		offered = RoleMixed
	}
	if offered == RoleStandby {
		return false
	}
	return wanted == "" || offered == RoleMixed || offered == wanted
}

func fitsMemory(engine *EngineState, request *Request) bool {
	if engine.CacheLimit == 0 {
		return true
	}
	return request.PromptTokens()+request.OutputTokens <= engine.CacheLimit
}
