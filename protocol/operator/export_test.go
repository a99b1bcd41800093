package operator

import (
	"fmt"
	"strings"
)

// StatementNames returns the words that a statement may begin with.
func StatementNames() []string {
	return strings.Split(statementNames(allTables()), ", ")
}

// ReferenceLines returns the rows that the tables of the reference page must
// have: one for each table with its columns, and one for each command.
func ReferenceLines() []string {
	var lines []string
	for _, table := range allTables() {
		var columns []string
		for _, column := range table.columns {
			columns = append(columns, fmt.Sprintf("`%s` %s", column.Name, column.Kind))
		}
		lines = append(lines, fmt.Sprintf("| `%s` | %s |", table.name, strings.Join(columns, ", ")))
	}
	for _, rule := range rules() {
		lines = append(lines, fmt.Sprintf("| `%s %s` | %s |", rule.verb, rule.kind, referenceFields(rule)))
	}
	return lines
}

func referenceFields(r rule) string {
	if len(r.fields) == 0 {
		return "–"
	}
	return "`" + strings.Join(r.fields, "`, `") + "`"
}

// Grammar returns the language's grammar in extended Backus-Naur form.
func Grammar() string { return newParser().String() }
