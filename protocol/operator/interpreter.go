package operator

import (
	"context"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/state/result"
)

// Options are what an Interpreter needs; all are required.
type Options struct {
	Backend Backend
	// Logger gets a line for each command.
	Logger *zap.Logger
	// NewCommandID makes an id that no other command has.
	NewCommandID func() string
	// Now is the clock of the time that commands take.
	Now func() time.Time
}

// unreadableRetry is the pause that an operator is asked for where the object API can't
// be read.
const unreadableRetry = 2 * time.Second

// Interpreter runs statements. It is safe for concurrent use.
type Interpreter struct {
	options Options
	parser  *Parser
	tables  []*table
}

// NewInterpreter makes an interpreter.
func NewInterpreter(options Options) *Interpreter {
	return &Interpreter{options: options, parser: NewParser(), tables: allTables()}
}

// Run runs one statement. Errors are of type *SyntaxError or *result.Error.
func (i *Interpreter) Run(ctx context.Context, request Request) (Answer, error) {
	statement, err := i.parser.Parse(request.Text)
	if err != nil {
		return Answer{}, err
	}
	switch {
	case statement.Command != nil:
		return i.command(ctx, request, statement.Command)
	case statement.Explain != nil:
		return i.explain(ctx, request, statement.Explain)
	default:
		return i.query(ctx, request, statement.Query)
	}
}

func (i *Interpreter) query(ctx context.Context, request Request, query *Query) (Answer, error) {
	plan, err := planQuery(request.Text, query, i.tables)
	if err != nil {
		return Answer{}, err
	}
	answer, err := i.rows(ctx, plan)
	if err != nil {
		return Answer{}, err
	}
	return Answer{Table: answer}, nil
}

func (i *Interpreter) rows(ctx context.Context, plan *plannedQuery) (*TableAnswer, error) {
	listing, err := plan.table.fetch(ctx, i.options.Backend, plan.hint)
	if err != nil {
		return nil, err
	}
	return &TableAnswer{
		Name:       plan.table.name,
		Columns:    plan.table.columns,
		Rows:       plan.evaluate(listing.Rows),
		Incomplete: listing.Incomplete,
	}, nil
}

// command runs a command, and logs who gave it and what became of it.
func (i *Interpreter) command(ctx context.Context, request Request, command *Command) (Answer, error) {
	plan, err := planCommand(request.Text, command)
	if err != nil {
		return Answer{}, err
	}
	issued, err := i.issue(request, plan)
	if err != nil {
		return Answer{}, err
	}
	started := i.options.Now()
	answer, err := i.carryOut(ctx, plan, issued)
	i.log(request, issued, started, answer, err)
	if err != nil {
		return Answer{}, err
	}
	return Answer{Command: &answer}, nil
}

// issue is who gives a command, and under which id.
type issue struct {
	operator  string
	commandID string
	// again is set where the command may have been sent before.
	again bool
}

func (i *Interpreter) issue(request Request, plan *plannedCommand) (issue, error) {
	if request.Operator == "" {
		return issue{}, result.Errorf(result.BadRequest, "field operator: a command needs to say who gives it")
	}
	id := plan.commandID
	if id != "" && request.CommandID != "" && id != request.CommandID {
		return issue{}, result.Errorf(result.BadRequest, "field command_id: %q isn't the command id of the text, %q", request.CommandID, id)
	}
	if id == "" {
		id = request.CommandID
	}
	if id == "" {
		return issue{operator: request.Operator, commandID: i.options.NewCommandID()}, nil
	}
	again := request.Again == nil || *request.Again
	return issue{operator: request.Operator, commandID: id, again: again}, nil
}

func (i *Interpreter) carryOut(ctx context.Context, plan *plannedCommand, issued issue) (CommandAnswer, error) {
	answer := CommandAnswer{CommandID: issued.commandID, Operator: issued.operator, Verb: plan.verb}
	if plan.program != "" {
		answer.Subject = programSubject + "/" + plan.program
		return answer, i.options.Backend.EndProgram(ctx, plan.program, endReason(plan, issued))
	}
	answer.Subject = plan.key.String()
	change, err := i.change(ctx, plan, issued)
	if err != nil {
		return answer, err
	}
	accepted, err := i.options.Backend.Accept(ctx, change)
	answer.Version = accepted.Version
	answer.ConfigurationVersion = accepted.ConfigurationVersion
	answer.Repeated = accepted.Repeated
	return answer, err
}

func endReason(plan *plannedCommand, issued issue) string {
	reason := "stopped by operator " + issued.operator + ", command " + issued.commandID
	if plan.reason != "" {
		reason += ": " + plan.reason
	}
	return reason
}

// change builds the object's new body from the one at the expected version.
func (i *Interpreter) change(ctx context.Context, plan *plannedCommand, issued issue) (configuration.Change, error) {
	change := configuration.Change{
		Key:       plan.key,
		Expected:  plan.expected,
		Remove:    plan.rule.remove,
		CommandID: issued.commandID,
		Operator:  issued.operator,
		Again:     issued.again,
	}
	object, err := i.options.Backend.Get(ctx, plan.key)
	if err != nil {
		return change, unreadable(plan, issued, err)
	}
	repeat := configuration.Writer(object.Body).Includes(issued.commandID)
	if !repeat {
		if err := i.compare(ctx, plan, object); err != nil {
			return change, err
		}
	}
	if plan.rule.remove {
		return change, nil
	}
	if object.Deleted {
		object.Body = nil
	}
	change.Body, err = plan.body(object.Body)
	if err != nil {
		return change, result.Errorf(result.InvalidConfiguration, "%s: the stored body isn't a JSON object: %v", plan.key, err)
	}
	return change, nil
}

// unreadable returns the error of a command whose object can't be read. This try
// did nothing, but of a repeat an earlier one may have.
func unreadable(plan *plannedCommand, issued issue, err error) error {
	if issued.again {
		return result.Errorf(result.CommandUnresolved,
			"an earlier try of command %s may have been done; this one can't read %s: %v", issued.commandID, plan.key, err).WithRetryAfter(unreadableRetry)
	}
	return result.Errorf(result.PlatformUnavailable, "nothing was changed: can't read %s: %v", plan.key, err).WithRetryAfter(unreadableRetry)
}

// compare refuses a command whose operator looked at another version of the
// object.
func (i *Interpreter) compare(ctx context.Context, plan *plannedCommand, object configuration.Object) error {
	version := object.Version
	if object.Deleted {
		version = 0
	}
	switch {
	case version == plan.expected && !object.Deleted:
		return nil
	case version == plan.expected:
		return i.checkNode(ctx, plan)
	case object.Deleted:
		return result.Errorf(result.UnknownObject, "%s: there is no such object", plan.key)
	}
	mark := configuration.Writer(object.Body)
	if mark.CommandID == "" {
		return result.Errorf(result.VersionConflict, "%s is at version %d, not %d; it was written without a command id",
			plan.key, version, plan.expected)
	}
	return result.Errorf(result.VersionConflict, "%s is at version %d, not %d; it was written by command %s of operator %s",
		plan.key, version, plan.expected, mark.CommandID, mark.Operator)
}

// checkNode refuses a command for a node that isn't known. Whether a node exists
// can't be seen from its object, which the first command for it makes.
func (i *Interpreter) checkNode(ctx context.Context, plan *plannedCommand) error {
	if plan.key.Kind != configuration.KindNode {
		return nil
	}
	nodes, err := i.options.Backend.Nodes(ctx)
	if err != nil {
		return err
	}
	for _, node := range nodes.Rows {
		if node.Name == plan.key.Name {
			return nil
		}
	}
	return result.Errorf(result.UnknownObject, "%s: no such node is known", plan.key)
}

func (i *Interpreter) log(request Request, issued issue, started time.Time, answer CommandAnswer, err error) {
	code := result.OK
	message := ""
	if err != nil {
		failure := asResult(err)
		code, message = failure.Code, failure.Message
	}
	i.options.Logger.Info("operator command",
		zap.String("operator", issued.operator),
		zap.String("command_id", issued.commandID),
		zap.String("text", oneLine(request.Text)),
		zap.String("subject", answer.Subject),
		zap.Uint64("version", answer.Version),
		zap.Bool("repeated", answer.Repeated),
		zap.Uint32("result", uint32(code)),
		zap.String("result_name", code.String()),
		zap.String("message", message),
		zap.Float64("took_seconds", i.options.Now().Sub(started).Seconds()))
}

// asResult returns what the operator is told of an error.
func asResult(err error) *result.Error {
	return result.FromError(err, result.Errorf(result.CommandUnresolved,
		"this node stopped waiting for the outcome; the same command id finds out"))
}

// splitCall reads the id of a call.
func splitCall(source string, word *Word) (program string, sequence uint64, err error) {
	program, number, found := strings.Cut(word.Text, "/")
	sequence, parseError := strconv.ParseUint(number, 10, 64)
	if !found || program == "" || parseError != nil {
		return "", 0, faultAt(source, word, "%q isn't a call; allowed: PROGRAM/SEQUENCE", word.Text)
	}
	return program, sequence, nil
}
