// Package quota limits the requests of each tenant to its rate across all gateways. The
// quota is divided among slots. A slot is held by one storage node at a time, by a lease in
// a register of the shard with the same number. Its holder grants permits to gateways, one
// for each request, or several in advance to gateways with high demand.
//
// # The bound
//
// Let W be the window over which requests are counted, o the fraction and S the number of
// requests by which a tenant may exceed its quota in a window, and R and B its rate and
// burst. Across all machines, at most (R*W + B)*(1+o) + S of its requests run in any window:
//
//   - A holder grants only while its lease is valid by its own monotonic clock, counted from
//     when it sent the last renewal. Another node takes the slot only after it has seen no
//     renewal for longer than that. So one node at a time grants for a slot.
//   - A slot grants by a token bucket that starts empty with each holder. So within any
//     time span d it grants at most r*d + b, with its rate r and burst b, whoever holds it.
//   - A permit is used within o*W of when it was requested. A request that is sent and
//     arrives at a back end within a window uses a permit granted in that window or within
//     o*W before it.
//   - The main slots together have a bucket of rate R + s*B/W and burst
//     B*(1+o)*(1-s) + u*S, where the fraction s of the burst is spread over the window.
//     Within W + o*W they grant at most (R*W + B)*(1+o) + u*S.
//   - The reserve slot, which is asked while a main slot has no holder, grants 0.4*S and
//     another 0.3*S in each window, independent of the rate; u is the remaining fraction:
//     1 - 0.4 - 0.3*(1+o).
//
// The sum is the bound, for any o up to 1.
//
// A gateway that reaches no holder grants nothing by itself, since the bound leaves no
// requests for that.
package quota
