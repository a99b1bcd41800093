package replica

import (
	"bytes"
	"slices"
	"sync"
)

// Memory is a Store without persistence. A node that uses it must use a new incarnation at
// every start, since its promises are lost.
type Memory struct {
	mutex  sync.RWMutex
	shards map[uint32]*memoryShard
	closed bool
}

type memoryShard struct {
	registers map[string]Register
	meta      map[string][]byte
	// turns holds the turns of each program, ordered by sequence and digest. The slices
	// are replaced, never modified, so that snapshots can share them.
	turns map[string][]Turn
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{shards: make(map[uint32]*memoryShard)}
}

// LoadRegister returns the state of the register, or the zero Register if it was never
// saved.
func (m *Memory) LoadRegister(shard uint32, key string) (Register, error) {
	if err := checkName(key); err != nil {
		return Register{}, err
	}
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	if m.closed {
		return Register{}, ErrClosed
	}
	return copyRegister(m.lookupShard(shard).registers[key]), nil
}

// SaveRegister replaces the state of the register. An empty Value is stored as nil.
func (m *Memory) SaveRegister(shard uint32, key string, state Register) error {
	if err := checkName(key); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		return ErrClosed
	}
	m.ensureShard(shard).registers[key] = copyRegister(state)
	return nil
}

// EachRegister visits a snapshot of the registers, taken when it is called.
func (m *Memory) EachRegister(shard uint32, visit func(key string, state Register) error) error {
	keys, states, err := m.snapshotRegisters(shard)
	if err != nil {
		return err
	}
	for index, key := range keys {
		if err := visit(key, copyRegister(states[index])); err != nil {
			return err
		}
	}
	return nil
}

func (m *Memory) snapshotRegisters(shard uint32) ([]string, []Register, error) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	if m.closed {
		return nil, nil, ErrClosed
	}
	registers := m.lookupShard(shard).registers
	keys := sortedKeys(registers)
	states := make([]Register, len(keys))
	for index, key := range keys {
		states[index] = registers[key]
	}
	return keys, states, nil
}

// PutTurn stores the turn. It replaces a turn with the same program, sequence and digest.
func (m *Memory) PutTurn(shard uint32, turn Turn) error {
	if err := checkName(turn.Program); err != nil {
		return err
	}
	turn = copyTurn(turn)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		return ErrClosed
	}
	turns := m.ensureShard(shard).turns
	index, found := slices.BinarySearchFunc(turns[turn.Program], turn, compareTurns)
	if !found {
		turns[turn.Program] = slices.Insert(slices.Clone(turns[turn.Program]), index, turn)
		return nil
	}
	replaced := slices.Clone(turns[turn.Program])
	replaced[index] = turn
	turns[turn.Program] = replaced
	return nil
}

// ReadTurns visits a snapshot of the program's turns whose sequence is at least from.
func (m *Memory) ReadTurns(shard uint32, program string, from uint64, visit func(Turn) error) error {
	if err := checkName(program); err != nil {
		return err
	}
	m.mutex.RLock()
	turns, closed := m.lookupShard(shard).turns[program], m.closed
	m.mutex.RUnlock()
	if closed {
		return ErrClosed
	}
	for _, turn := range turns {
		if turn.Sequence < from {
			continue
		}
		if err := visit(copyTurn(turn)); err != nil {
			return err
		}
	}
	return nil
}

// EachTurn visits a snapshot of the shard's turns, ordered by program, sequence and
// digest.
func (m *Memory) EachTurn(shard uint32, visit func(Turn) error) error {
	turns, err := m.snapshotTurns(shard)
	if err != nil {
		return err
	}
	for _, turn := range turns {
		if err := visit(copyTurn(turn)); err != nil {
			return err
		}
	}
	return nil
}

func (m *Memory) snapshotTurns(shard uint32) ([]Turn, error) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	if m.closed {
		return nil, ErrClosed
	}
	var all []Turn
	programs := m.lookupShard(shard).turns
	for _, program := range sortedKeys(programs) {
		all = append(all, programs[program]...)
	}
	return all, nil
}

// EachTurnKey implements TurnLister.
func (m *Memory) EachTurnKey(shard uint32, visit func(Turn) error) error {
	turns, err := m.snapshotTurns(shard)
	if err != nil {
		return err
	}
	for _, turn := range turns {
		turn.Object = nil
		if err := visit(turn); err != nil {
			return err
		}
	}
	return nil
}

// DeleteTurns deletes the turns of the program, but not its register.
func (m *Memory) DeleteTurns(shard uint32, program string) error {
	if err := checkName(program); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		return ErrClosed
	}
	delete(m.ensureShard(shard).turns, program)
	return nil
}

// LoadMeta returns the value, or nil if there is none.
func (m *Memory) LoadMeta(shard uint32, name string) ([]byte, error) {
	if err := checkName(name); err != nil {
		return nil, err
	}
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	if m.closed {
		return nil, ErrClosed
	}
	return bytes.Clone(m.lookupShard(shard).meta[name]), nil
}

// SaveMeta replaces the value. An empty value removes it.
func (m *Memory) SaveMeta(shard uint32, name string, value []byte) error {
	if err := checkName(name); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		return ErrClosed
	}
	if len(value) == 0 {
		delete(m.ensureShard(shard).meta, name)
		return nil
	}
	m.ensureShard(shard).meta[name] = bytes.Clone(value)
	return nil
}

// DropShard deletes the registers, turns and meta values of the shard.
func (m *Memory) DropShard(shard uint32) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		return ErrClosed
	}
	delete(m.shards, shard)
	return nil
}

// Close discards all data.
func (m *Memory) Close() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.closed = true
	m.shards = nil
	return nil
}

// lookupShard returns the shard, or a new empty one that isn't stored. The caller must hold
// the mutex.
func (m *Memory) lookupShard(shard uint32) *memoryShard {
	if existing, found := m.shards[shard]; found {
		return existing
	}
	return &memoryShard{}
}

// ensureShard returns the shard and creates it if there is none. The caller must hold the
// mutex for writing.
func (m *Memory) ensureShard(shard uint32) *memoryShard {
	if existing, found := m.shards[shard]; found {
		return existing
	}
	created := &memoryShard{
		registers: make(map[string]Register),
		meta:      make(map[string][]byte),
		turns:     make(map[string][]Turn),
	}
	m.shards[shard] = created
	return created
}

func sortedKeys[V any](entries map[string]V) []string {
	keys := make([]string, 0, len(entries))
	for key := range entries {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
