// Package placement decides which engine of a pool loads which models and
// adapters, and which role it has.
//
// Plan is a pure function of what the engines have and what is asked of them.
// It makes before it breaks: nothing is unloaded whose place isn't taken
// already. Loads are bounded, since weights come from a store that limits its
// rate, and two thresholds with a gap between them, and a least stay, keep
// placements from flapping. Controller sends a plan's orders with a fence, so
// that of two nodes that plan at once the older one's orders are refused.
package placement
