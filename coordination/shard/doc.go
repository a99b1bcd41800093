// Package shard groups registers and turns into shards, keeps the replica set
// of each and changes it while programs run.
//
// The parts are:
//
//   - Map: the newest open view (epoch and members) of each shard that a node
//     knows; which shard a program belongs to.
//   - Replica: the server side of one node. It answers for the shards of which
//     its incarnation is a member and refuses everything else.
//   - Driver: carries a shard from one epoch to the next.
//   - Plan: decides, from who is alive, which shards need other members.
//
// # Reconfiguration
//
// The members of epoch e decide the view of epoch e+1 in a register of their
// own (single-decree Paxos). A majority of them is sealed, which ends e. Each
// member of the new view copies the shard from a majority of sealed members,
// and once a majority has, e+1 opens. Any node may drive any step at any time;
// every step may be repeated. A view becomes known to nodes and callers only
// when it opens, so whoever knows an epoch can rely on a majority of its
// members holding the data, and whoever knows only the epoch before can finish
// the change. Compare L. Lamport, D. Malkhi, L. Zhou, "Vertical Paxos and
// Primary-Backup Replication", 2009, and "Reconfiguring a State Machine", 2010.
package shard
