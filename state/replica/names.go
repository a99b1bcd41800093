package replica

import "bytes"

// TurnLister is implemented by stores that list turns without reading their
// objects.
type TurnLister interface {
	// EachTurnName visits the turns of the shard as EachTurn does, without
	// their objects.
	EachTurnName(shard uint32, visit func(Turn) error) error
}

var (
	_ TurnLister = (*Memory)(nil)
	_ TurnLister = (*Disk)(nil)
)

// EachTurnName visits the turns of the shard without their objects, by way of
// TurnLister where the store has it.
func EachTurnName(store Store, shard uint32, visit func(Turn) error) error {
	if lister, found := store.(TurnLister); found {
		return lister.EachTurnName(shard, visit)
	}
	return store.EachTurn(shard, func(turn Turn) error {
		turn.Object = nil
		return visit(turn)
	})
}

// EachTurnName implements TurnLister.
func (m *Memory) EachTurnName(shard uint32, visit func(Turn) error) error {
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

// EachTurnName implements TurnLister.
func (d *Disk) EachTurnName(shard uint32, visit func(Turn) error) error {
	prefix := kindPrefix(kindTurn, shard)
	return d.eachTurn(prefix, prefix, turnName, visit)
}

// turnName decodes a turn without its object, which isn't read or verified.
func turnName(key, _ []byte) (Turn, error) {
	return decodeTurn(bytes.Clone(key), nil)
}
