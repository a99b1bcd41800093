package operator

import (
	"context"
	"slices"
	"time"
)

// Column is a column of a table.
type Column struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
}

// Row is the cells of one row, in the order of the columns.
type Row []Value

// table is one table of the language, its rows without their types.
type table struct {
	name    string
	columns []Column
	fetch   func(ctx context.Context, backend Tables, hint Hint) (Listing[Row], error)
}

func (t *table) column(name string) (int, bool) {
	index := slices.IndexFunc(t.columns, func(c Column) bool { return c.Name == name })
	return index, index >= 0
}

func (t *table) columnNames() []string {
	names := make([]string, len(t.columns))
	for index, column := range t.columns {
		names[index] = column.Name
	}
	return names
}

// cell is a column with the function that reads it from a typed row.
type cell[R any] struct {
	Column
	read func(R) Value
}

func text[R any](name string, read func(R) string) cell[R] {
	return cell[R]{Column{name, KindText}, func(row R) Value { return Text(read(row)) }}
}

func integer[R any, T ~int | ~int64 | ~uint32 | ~uint64](name string, read func(R) T) cell[R] {
	return cell[R]{Column{name, KindInteger}, func(row R) Value { return Integer(read(row)) }}
}

func boolean[R any](name string, read func(R) bool) cell[R] {
	return cell[R]{Column{name, KindBoolean}, func(row R) Value { return Boolean(read(row)) }}
}

func list[R any](name string, read func(R) []string) cell[R] {
	return cell[R]{Column{name, KindList}, func(row R) Value { return List(read(row)) }}
}

func duration[R any](name string, read func(R) time.Duration) cell[R] {
	return cell[R]{Column{name, KindDuration}, func(row R) Value { return Duration(read(row)) }}
}

// newTable makes a table of typed rows.
func newTable[R any](name string, fetch func(context.Context, Tables, Hint) (Listing[R], error), cells ...cell[R]) *table {
	result := &table{name: name}
	for _, cell := range cells {
		result.columns = append(result.columns, cell.Column)
	}
	result.fetch = func(ctx context.Context, backend Tables, hint Hint) (Listing[Row], error) {
		listing, err := fetch(ctx, backend, hint)
		if err != nil {
			return Listing[Row]{}, err
		}
		rows := make([]Row, len(listing.Rows))
		for index, typed := range listing.Rows {
			rows[index] = readCells(cells, typed)
		}
		return Listing[Row]{Rows: rows, Incomplete: listing.Incomplete}, nil
	}
	return result
}

// unhinted adapts the fetch of a table that takes no hint.
func unhinted[R any](fetch func(Tables, context.Context) (Listing[R], error)) func(context.Context, Tables, Hint) (Listing[R], error) {
	return func(ctx context.Context, backend Tables, _ Hint) (Listing[R], error) {
		return fetch(backend, ctx)
	}
}

func readCells[R any](cells []cell[R], typed R) Row {
	row := make(Row, len(cells))
	for index, cell := range cells {
		row[index] = cell.read(typed)
	}
	return row
}
