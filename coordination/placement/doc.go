// Package placement decides which models and adapters each engine of a pool
// loads, and which role it has.
//
// Plan is a pure function of the engines' state and the demand per model. It is
// make-before-break: a model in demand is unloaded only where other engines
// already serve it. The number of concurrent loads is bounded because the weight
// store is rate-limited. Hysteresis between two thresholds and a cooldown per
// engine prevent flapping. Controller sends the orders of a plan with a fencing
// token, so that of two nodes planning concurrently the older one is rejected.
package placement
