package operator

import "encoding/json"

// Request is one statement and who sent it.
type Request struct {
	Text string `json:"text"`
	// Operator is who is responsible; required for commands.
	Operator string `json:"operator"`
	// CommandID is the command's id where the text has none.
	CommandID string `json:"command_id,omitempty"`
	// Again says that the command may have been sent before with this id. Where
	// it is absent, that is assumed of a command with an id.
	Again *bool `json:"again,omitempty"`
}

// Answer is the answer to a statement. Exactly one field is set.
type Answer struct {
	Table       *TableAnswer       `json:"table,omitempty"`
	Explanation *ExplanationAnswer `json:"explanation,omitempty"`
	Command     *CommandAnswer     `json:"command,omitempty"`
}

// TableAnswer has the rows of a query.
type TableAnswer struct {
	Name    string   `json:"name"`
	Columns []Column `json:"columns"`
	Rows    []Row    `json:"rows"`
	// Incomplete says what is missing; empty where nothing is.
	Incomplete string `json:"incomplete,omitempty"`
}

// UnmarshalJSON reads the cells by the kinds of their columns.
func (t *TableAnswer) UnmarshalJSON(data []byte) error {
	var raw struct {
		Name       string              `json:"name"`
		Columns    []Column            `json:"columns"`
		Rows       [][]json.RawMessage `json:"rows"`
		Incomplete string              `json:"incomplete"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	*t = TableAnswer{Name: raw.Name, Columns: raw.Columns, Incomplete: raw.Incomplete}
	for _, cells := range raw.Rows {
		row, err := rowFromJSON(raw.Columns, cells)
		if err != nil {
			return err
		}
		t.Rows = append(t.Rows, row)
	}
	return nil
}

func rowFromJSON(columns []Column, cells []json.RawMessage) (Row, error) {
	row := make(Row, min(len(columns), len(cells)))
	for index := range row {
		value, err := valueFromJSON(columns[index].Kind, cells[index])
		if err != nil {
			return nil, err
		}
		row[index] = value
	}
	return row, nil
}

// ExplanationAnswer says where something ran and why.
type ExplanationAnswer struct {
	// Program or Call is the row of what was asked about.
	Program *TableAnswer `json:"program,omitempty"`
	Call    *TableAnswer `json:"call,omitempty"`
	// Calls are the program's recent calls.
	Calls *TableAnswer `json:"calls,omitempty"`
	// Decisions are the choices of engines that nodes remember, oldest first.
	Decisions []Decision `json:"decisions"`
	// Incomplete says what is missing; empty where nothing is.
	Incomplete string `json:"incomplete,omitempty"`
}

// CommandAnswer says that a command is done and in force.
type CommandAnswer struct {
	CommandID string `json:"command_id"`
	Operator  string `json:"operator"`
	Verb      string `json:"verb"`
	// Subject is what was changed, such as "engine/e1".
	Subject string `json:"subject"`
	// Version of the object after the command; 0 for a program.
	Version uint64 `json:"version,omitempty"`
	// ConfigurationVersion is the version of the configuration that is in force
	// with the command.
	ConfigurationVersion uint64 `json:"configuration_version,omitempty"`
	// Repeated is set where an earlier try had done it.
	Repeated bool `json:"repeated,omitempty"`
}
