package operator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os/user"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/marblering/marblering/coordination/sleep"
)

// Defaults of the command line.
const (
	defaultAddress  = "127.0.0.1:7300"
	defaultTimeout  = 30 * time.Second
	defaultAttempts = 5
	promptText      = "marblering> "
)

// commandLine is what both commands have in common.
type commandLine struct {
	address  string
	output   string
	operator string
	id       string
	timeout  time.Duration
}

// Commands returns the operators' commands for the command line.
func Commands() []*cobra.Command {
	return []*cobra.Command{newQueryCommand(), newPromptCommand()}
}

func newQueryCommand() *cobra.Command {
	line := &commandLine{}
	command := &cobra.Command{
		Use:   "query STATEMENT",
		Short: "Run one statement of the operators' language",
		Example: `  marblering query 'engines where state = draining'
  marblering query 'explain call 4f2a/3'
  marblering query 'drain engine e1 expect version 17'`,
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return line.run(command, arguments[0])
		},
	}
	line.addFlags(command)
	command.Flags().StringVar(&line.id, "command-id", "", "id of the command where the statement has none; the same id again is the same command")
	return command
}

func newPromptCommand() *cobra.Command {
	line := &commandLine{}
	command := &cobra.Command{
		Use:   "prompt",
		Short: "Read statements line by line from the standard input stream",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return line.prompt(command)
		},
	}
	line.addFlags(command)
	return command
}

func (l *commandLine) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&l.address, "address", defaultAddress, "a node's operator_listen: IP number and port, or http URL")
	flags.StringVar(&l.output, "output", string(OutputTable), "form of answers: table or json")
	flags.StringVar(&l.operator, "operator", userName(), "who is responsible for commands")
	flags.DurationVar(&l.timeout, "timeout", defaultTimeout, "how long to wait for a statement's outcome")
}

// userName is empty where the system doesn't know the user.
func userName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

func (l *commandLine) client() *Client {
	return &Client{
		Address:      l.address,
		HTTP:         &http.Client{},
		NewCommandID: uuid.NewString,
		Attempts:     defaultAttempts,
		Sleep:        sleep.For,
	}
}

func (l *commandLine) run(command *cobra.Command, statement string) error {
	output, err := ParseOutput(l.output)
	if err != nil {
		return err
	}
	answer, err := l.ask(command.Context(), l.client(), statement)
	if err != nil {
		return err
	}
	return Render(command.OutOrStdout(), answer, output)
}

func (l *commandLine) ask(ctx context.Context, client *Client, statement string) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	request := Request{Text: statement, Operator: l.operator, CommandID: l.id}
	return client.Run(ctx, request)
}

// prompt runs one statement a line until the input ends or says quit. A failed
// statement is reported and doesn't end it.
func (l *commandLine) prompt(command *cobra.Command) error {
	output, err := ParseOutput(l.output)
	if err != nil {
		return err
	}
	client := l.client()
	out, errors := command.OutOrStdout(), command.ErrOrStderr()
	lines := bufio.NewScanner(command.InOrStdin())
	for ask(errors, lines) {
		statement := strings.TrimSpace(lines.Text())
		if statement == "" {
			continue
		}
		if statement == "quit" || statement == "exit" {
			return nil
		}
		answer, err := l.ask(command.Context(), client, statement)
		if err == nil {
			err = Render(out, answer, output)
		}
		if err != nil {
			fmt.Fprintln(errors, err)
		}
	}
	return merry.Prepend(lines.Err(), "can't read the statements")
}

// ask writes the prompt beside the answers, so that these can be piped.
func ask(prompts io.Writer, lines *bufio.Scanner) bool {
	fmt.Fprint(prompts, promptText)
	return lines.Scan()
}
