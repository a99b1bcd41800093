// Package register implements replicated registers: byte strings that are read and
// changed by compare-and-swap over a majority of a shard's members, with no
// leader and no lease. Each register is an instance of single-decree Paxos
// whose value may be replaced under higher ballots (CASPaxos: D. Rystsov,
// "CASPaxos: Replicated State Machines without logs", 2018, arXiv:1802.07000).
//
// A change takes one round trip if the same node made the previous change of the
// register, because the promise for its next ballot is part of the accept; otherwise
// it takes two.
//
// The main types are:
//
//   - Acceptor: the acceptor role of one replica, a pure function of its register state.
//   - Proposer: the proposer role for one change of one register, a state machine that
//     performs no input or output.
//   - Client: drives proposers over a Transport, with retries, a queue for each
//     register and a cache of promises.
//
// The package depends on a replica that stores register states (coordination/shard on
// state/replica), a Transport that sends the requests (transport/peer) and Views that
// know the replica sets (coordination/shard).
//
// # Requirements for callers
//
// A Change may be called several times, and after an accept whose outcome is
// unknown it may be called with a value that already includes its own effect.
// It must recognise that by what it wrote (an idempotency key, an attempt
// number) and then return the current value or an error of its own. It must not
// modify its argument, and the slices it returns must not be modified later.
//
// The chosen value may come from any call of the Change, not necessarily the last one
// (TestEarlierEvaluationMayBeChosen). A caller must therefore take the result from the
// value that Apply returns, never from variables that the Change has set.
//
// The configuration version that fences a change is read before the change is
// called. A change that depends on the configuration must therefore read the
// configuration inside the function, never before Apply.
//
// # Requirements for replicas
//
//   - The state returned by the Acceptor is durable before the reply is sent, and
//     load, decision and save of one register are atomic.
//   - The fence is checked in the same critical section as the register.
//   - A replica that has lost its state answers under a new incarnation, so
//     that the fence refuses every request meant for the old one.
//   - Members of a new epoch begin with Merge of a majority of the sealed epoch:
//     the highest promise matters as much as the highest accepted value.
package register
