// Package shard partitions registers and turns into shards and reconfigures the
// replica set of each shard while it serves requests.
//
// The main components are:
//
//   - Map: maps programs to shards and holds the newest open view (epoch and
//     members) of each shard that a node knows.
//   - Replica: the server side of one node. It serves the shards of which its
//     incarnation is a member and refuses requests for all others.
//   - Installer: copies the data of shards to the node's replica.
//   - Driver: moves a shard from one epoch to the next.
//   - Plan: decides which replica sets need other members, given the nodes that
//     answer.
//   - Maintainer: runs these steps periodically on each node.
//
// # Reconfiguration
//
// The members of epoch e decide the view of epoch e+1 in a separate register
// (single-decree Paxos). A majority of them is then sealed, which ends e. Each
// member of the new view copies the shard from a majority of sealed members,
// and once a majority has finished, e+1 opens. Any node may drive any step at
// any time, and every step is idempotent. Nodes and clients learn a view only
// when it opens, so members of a known epoch hold its data, and a node that
// knows only the previous epoch can finish the change. An installed view proves
// that the previous epoch has ended, so it opens even if a majority can't be
// sealed any more. A member that never held the data of an ended epoch granted
// nothing in it: it counts as listed, without data. See
// L. Lamport, D. Malkhi, L. Zhou, "Vertical Paxos and
// Primary-Backup Replication", 2009, and "Reconfiguring a State Machine", 2010.
package shard
