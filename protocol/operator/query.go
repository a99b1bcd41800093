package operator

import (
	"slices"
	"strconv"
	"strings"
)

// plannedQuery is a query whose names and constants have been checked.
type plannedQuery struct {
	table *table
	// where is nil where all rows are wanted.
	where predicate
	order []sortKey
	// limit is negative for no limit.
	limit int
	hint  Hint
}

// predicate tells whether a row is wanted.
type predicate func(Row) bool

// sortKey is one column to sort by.
type sortKey struct {
	column     int
	descending bool
}

// planQuery checks a query against the tables.
func planQuery(source string, query *Query, tables []*table) (*plannedQuery, error) {
	index := slices.IndexFunc(tables, func(t *table) bool { return t.name == strings.ToLower(query.Table.Text) })
	if index < 0 {
		return nil, faultAt(source, query.Table, "%q is neither a table nor a command; allowed: %s", query.Table.Text, statementNames(tables))
	}
	planner := &queryPlanner{source: source, table: tables[index]}
	plan := &plannedQuery{table: tables[index], limit: -1}
	var err error
	if query.Where != nil {
		if plan.where, err = planner.condition(query.Where); err != nil {
			return nil, err
		}
		plan.hint = planner.hint(query.Where)
	}
	if plan.order, err = planner.order(query.Order); err != nil {
		return nil, err
	}
	if query.Limit != nil {
		if plan.limit, err = planner.limit(query.Limit); err != nil {
			return nil, err
		}
	}
	return plan, nil
}

func statementNames(tables []*table) string {
	var names []string
	for _, table := range tables {
		names = append(names, table.name)
	}
	names = append(names, "explain")
	return strings.Join(append(names, verbNames()...), ", ")
}

// queryPlanner checks the names and constants of one query.
type queryPlanner struct {
	source string
	table  *table
}

func (p *queryPlanner) condition(condition *Condition) (predicate, error) {
	var alternatives []predicate
	for _, conjunction := range condition.Alternatives {
		alternative, err := p.conjunction(conjunction)
		if err != nil {
			return nil, err
		}
		alternatives = append(alternatives, alternative)
	}
	return func(row Row) bool {
		return slices.ContainsFunc(alternatives, func(holds predicate) bool { return holds(row) })
	}, nil
}

func (p *queryPlanner) conjunction(conjunction *Conjunction) (predicate, error) {
	var terms []predicate
	for _, term := range conjunction.Terms {
		planned, err := p.term(term)
		if err != nil {
			return nil, err
		}
		terms = append(terms, planned)
	}
	return func(row Row) bool {
		return !slices.ContainsFunc(terms, func(holds predicate) bool { return !holds(row) })
	}, nil
}

func (p *queryPlanner) term(term *Term) (predicate, error) {
	switch {
	case term.Not != nil:
		inner, err := p.term(term.Not)
		if err != nil {
			return nil, err
		}
		return func(row Row) bool { return !inner(row) }, nil
	case term.Group != nil:
		return p.condition(term.Group)
	default:
		return p.comparison(term.Comparison)
	}
}

func (p *queryPlanner) comparison(comparison *Comparison) (predicate, error) {
	column, err := p.column(comparison.Column)
	if err != nil {
		return nil, err
	}
	if strings.EqualFold(comparison.Operator, "like") {
		pattern := comparison.Value.Text
		return func(row Row) bool { return row[column].like(pattern) }, nil
	}
	kind := p.table.columns[column].Kind
	constant, err := parseValue(kind, comparison.Value.Text)
	if err != nil {
		return nil, faultAt(p.source, comparison.Value, "%v", err)
	}
	if kind == KindList {
		return p.membership(comparison, column)
	}
	accepts := satisfies(comparison.Operator)
	return func(row Row) bool { return accepts(row[column].compare(constant)) }, nil
}

// membership compares a list: = holds where any entry is the constant.
func (p *queryPlanner) membership(comparison *Comparison, column int) (predicate, error) {
	wanted := comparison.Value.Text
	contains := func(row Row) bool { return slices.Contains(row[column].list, wanted) }
	switch comparison.Operator {
	case "=":
		return contains, nil
	case "!=":
		return func(row Row) bool { return !contains(row) }, nil
	}
	return nil, faultAt(p.source, comparison.Column, "%q is a list; allowed: =, != and like", comparison.Column.Text)
}

// satisfies returns which results of compare the operator accepts.
func satisfies(operator string) func(int) bool {
	switch operator {
	case "=":
		return func(order int) bool { return order == 0 }
	case "!=":
		return func(order int) bool { return order != 0 }
	case "<":
		return func(order int) bool { return order < 0 }
	case "<=":
		return func(order int) bool { return order <= 0 }
	case ">":
		return func(order int) bool { return order > 0 }
	default:
		return func(order int) bool { return order >= 0 }
	}
}

func (p *queryPlanner) column(word *Word) (int, error) {
	index, found := p.table.column(strings.ToLower(word.Text))
	if !found {
		return 0, faultAt(p.source, word, "%s has no column %q; allowed: %s", p.table.name, word.Text, strings.Join(p.table.columnNames(), ", "))
	}
	return index, nil
}

func (p *queryPlanner) order(orders []*Order) ([]sortKey, error) {
	var keys []sortKey
	for _, order := range orders {
		column, err := p.column(order.Column)
		if err != nil {
			return nil, err
		}
		keys = append(keys, sortKey{column: column, descending: order.Descending})
	}
	return keys, nil
}

func (p *queryPlanner) limit(word *Word) (int, error) {
	limit, err := strconv.Atoi(word.Text)
	if err != nil || limit < 0 {
		return 0, faultAt(p.source, word, "%q isn't a limit; allowed: a whole number from 0", word.Text)
	}
	return limit, nil
}

// hint returns the equalities that every wanted row must fulfil.
func (p *queryPlanner) hint(condition *Condition) Hint {
	var hint Hint
	if len(condition.Alternatives) != 1 {
		return hint
	}
	for _, term := range condition.Alternatives[0].Terms {
		if term.Comparison == nil || term.Comparison.Operator != "=" {
			continue
		}
		p.hintOf(&hint, strings.ToLower(term.Comparison.Column.Text), term.Comparison.Value.Text)
	}
	return hint
}

func (p *queryPlanner) hintOf(hint *Hint, column, constant string) {
	switch {
	case column == "tenant":
		hint.Tenant = constant
	case p.table.name == "programs" && column == "id", p.table.name == "calls" && column == "program":
		hint.Program = constant
	case p.table.name == "calls" && column == "id":
		hint.Program, _, _ = strings.Cut(constant, "/")
	}
}

// evaluate returns the rows that the query asks for, in its order.
func (q *plannedQuery) evaluate(rows []Row) []Row {
	result := make([]Row, 0, len(rows))
	for _, row := range rows {
		if q.where == nil || q.where(row) {
			result = append(result, row)
		}
	}
	slices.SortStableFunc(result, q.compare)
	if q.limit >= 0 && len(result) > q.limit {
		result = result[:q.limit]
	}
	return result
}

func (q *plannedQuery) compare(a, b Row) int {
	for _, key := range q.order {
		order := a[key.column].compare(b[key.column])
		if key.descending {
			order = -order
		}
		if order != 0 {
			return order
		}
	}
	return 0
}
