package operator

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/marblering/marblering/coordination/configuration"
)

// noEntries is the value of an empty list.
const noEntries = "none"

// plannedCommand is a command whose words have been checked.
type plannedCommand struct {
	verb string
	// program and reason are set for "stop program" only.
	program string
	reason  string
	// rule, key and edits are set for all other commands.
	rule  rule
	key   configuration.Key
	edits []edit
	// expected is the version that the object must have.
	expected uint64
	// hasExpected is set where the text has a version.
	hasExpected bool
	// commandID is empty where the text has none.
	commandID string
}

// edit sets one field of a body.
type edit struct {
	field bodyField
	value any
}

// commandPlanner checks the words of one command and fills its plan in.
type commandPlanner struct {
	source string
	plan   *plannedCommand
}

// planCommand checks the words of a command.
func planCommand(source string, command *Command) (*plannedCommand, error) {
	planner := &commandPlanner{source: source, plan: &plannedCommand{verb: strings.ToLower(command.Verb)}}
	if err := planner.guards(command.Guards); err != nil {
		return nil, err
	}
	kind := command.Subject.Kind
	if kind != nil && planner.plan.verb == verbStop && strings.EqualFold(kind.Text, programSubject) {
		return planner.plan, planner.stopProgram(command)
	}
	if err := planner.subject(command.Subject); err != nil {
		return nil, err
	}
	if err := planner.fields(command); err != nil {
		return nil, err
	}
	return planner.plan, planner.version(command)
}

func (p *commandPlanner) guards(guards []*Guard) error {
	for _, guard := range guards {
		if guard.ID != nil {
			if p.plan.commandID != "" {
				return faultAt(p.source, guard.ID, "the command has a second command id")
			}
			if guard.ID.Text == "" {
				return faultAt(p.source, guard.ID, "the command id is empty")
			}
			p.plan.commandID = guard.ID.Text
			continue
		}
		if p.plan.hasExpected {
			return faultAt(p.source, guard.Version, "the command has a second expected version")
		}
		version, err := strconv.ParseUint(guard.Version.Text, 10, 64)
		if err != nil {
			return faultAt(p.source, guard.Version, "%q isn't a version; allowed: a whole number, 0 for an object that doesn't exist", guard.Version.Text)
		}
		p.plan.expected = version
		p.plan.hasExpected = true
	}
	return nil
}

func (p *commandPlanner) stopProgram(command *Command) error {
	p.plan.program = command.Subject.Name.Text
	for _, guard := range command.Guards {
		if guard.Version != nil {
			return faultAt(p.source, guard.Version, "a program has no version: stopping it twice is the same as once")
		}
	}
	for _, field := range command.Fields {
		if !strings.EqualFold(field.Name.Text, "reason") || len(field.Values) != 1 {
			return faultAt(p.source, field.Name, "stop program takes no field %q; allowed: reason with one text", field.Name.Text)
		}
		p.plan.reason = field.Values[0].Text
	}
	return nil
}

func (p *commandPlanner) subject(subject *Subject) error {
	word, name := subject.Kind, configuration.SingletonName
	if subject.Singleton != nil {
		word = subject.Singleton
	} else {
		name = subject.Name.Text
	}
	kind := configuration.Kind(strings.ToLower(word.Text))
	all := rules()
	index := slices.IndexFunc(all, func(r rule) bool { return r.verb == p.plan.verb && r.kind == kind })
	if index < 0 {
		return faultAt(p.source, word, "%s isn't used with %q; allowed: %s", p.plan.verb, word.Text, strings.Join(subjectsOf(p.plan.verb), ", "))
	}
	p.plan.rule = all[index]
	p.plan.key = configuration.Key{Kind: kind, Name: name}
	return nil
}

func (p *commandPlanner) fields(command *Command) error {
	seen := map[string]struct{}{}
	for _, field := range command.Fields {
		name := strings.ToLower(field.Name.Text)
		if !slices.Contains(p.plan.rule.fields, name) {
			return faultAt(p.source, field.Name, "%s %s takes no field %q; allowed: %s",
				p.plan.verb, p.plan.key.Kind, field.Name.Text, allowedFields(p.plan.rule))
		}
		if _, found := seen[name]; found {
			return faultAt(p.source, field.Name, "field %q stands twice", name)
		}
		seen[name] = struct{}{}
		planned, err := p.edit(name, field)
		if err != nil {
			return err
		}
		p.plan.edits = append(p.plan.edits, planned)
	}
	changesNothing := len(command.Fields) == 0 && p.plan.rule.fields != nil && !p.plan.rule.mustCreate
	if changesNothing {
		return p.faultAtEnd("%s %s changes nothing; allowed fields: %s", p.plan.verb, p.plan.key.Kind, allowedFields(p.plan.rule))
	}
	return nil
}

func allowedFields(r rule) string {
	if len(r.fields) == 0 {
		return "none"
	}
	return strings.Join(r.fields, ", ")
}

func (p *commandPlanner) edit(name string, field *Field) (edit, error) {
	all := bodyFields[p.plan.key.Kind]
	found := all[slices.IndexFunc(all, func(f bodyField) bool { return f.name == name })]
	if found.kind == KindList {
		return edit{field: found, value: listOf(field.Values)}, nil
	}
	if len(field.Values) > 1 {
		return edit{}, faultAt(p.source, field.Values[1], "field %q takes one value", name)
	}
	word := field.Values[0]
	value, err := parseValue(found.kind, word.Text)
	if err != nil {
		return edit{}, faultAt(p.source, word, "field %s: %v", name, err)
	}
	if found.kind == KindInteger && value.integer < 0 {
		return edit{}, faultAt(p.source, word, "field %s: %q is below 0", name, word.Text)
	}
	return edit{field: found, value: value}, nil
}

func listOf(words []*Word) []string {
	if len(words) == 1 && strings.EqualFold(words[0].Text, noEntries) {
		return []string{}
	}
	texts := make([]string, len(words))
	for index, word := range words {
		texts[index] = word.Text
	}
	return texts
}

// version requires the version of the object that the operator looked at.
// Without it the later of two operators would overwrite the other's change
// without knowing.
func (p *commandPlanner) version(command *Command) error {
	switch {
	case p.plan.rule.mustCreate && p.plan.expected != 0:
		return p.faultAtEnd("add makes a new object; allowed: expect version 0 or none")
	case p.plan.rule.mustCreate || p.plan.hasExpected && (p.plan.expected > 0 || p.plan.rule.create):
		return nil
	case p.plan.hasExpected:
		return p.faultAtEnd("%s needs an object that exists; allowed: expect version N from 1", command.Verb)
	}
	return p.faultAtEnd("the expected version is missing; allowed: expect version N, the version that the table %s shows", tableOf(p.plan.key.Kind))
}

// tableOf returns the table in which an operator finds the version of an object.
func tableOf(kind configuration.Kind) string {
	switch kind {
	case configuration.KindEngine, configuration.KindPool, configuration.KindNode:
		return string(kind) + "s"
	}
	return "configuration"
}

// faultAtEnd reports what is missing at the end of the text.
func (p *commandPlanner) faultAtEnd(format string, arguments ...any) error {
	word := &Word{}
	word.Pos.Offset = len(strings.TrimRight(oneLine(p.source), " "))
	return faultAt(p.source, word, format, arguments...)
}

// body returns the object's body after the command, given the current one, which
// is nil for an object that doesn't exist.
func (c *plannedCommand) body(current json.RawMessage) (json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	if len(current) > 0 {
		if err := json.Unmarshal(current, &fields); err != nil {
			return nil, err
		}
	}
	if c.rule.flag != "" {
		if err := setField(fields, c.rule.flag, c.rule.value); err != nil {
			return nil, err
		}
	}
	for _, edit := range c.edits {
		if err := edit.apply(fields); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

func (e edit) apply(fields map[string]json.RawMessage) error {
	if e.field.parent == "" {
		return setField(fields, e.field.name, e.value)
	}
	inner := map[string]json.RawMessage{}
	if existing := fields[e.field.parent]; len(existing) > 0 {
		if err := json.Unmarshal(existing, &inner); err != nil {
			return err
		}
	}
	if err := setField(inner, e.field.name, e.value); err != nil {
		return err
	}
	return setField(fields, e.field.parent, inner)
}

func setField(fields map[string]json.RawMessage, name string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	fields[name] = encoded
	return nil
}
