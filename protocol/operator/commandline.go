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

const (
	defaultAddress = "127.0.0.1:7300"
	// defaultTimeout bounds a statement with all its attempts.
	defaultTimeout = 30 * time.Second
	// maxAttempts is how often a command is sent while its outcome is unknown.
	maxAttempts = 5
	promptText  = "marblering> "
)

// commandLine has the flags of the commands query and prompt.
type commandLine struct {
	address  string
	output   string
	operator string
	// id is the command's id; of query only.
	id      string
	timeout time.Duration
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
		Attempts:     maxAttempts,
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

// prompt runs one statement a line until the input ends or says quit. It reports a
// statement that fails and goes on.
func (l *commandLine) prompt(command *cobra.Command) error {
	output, err := ParseOutput(l.output)
	if err != nil {
		return err
	}
	client := l.client()
	out, errors := command.OutOrStdout(), command.ErrOrStderr()
	lines := bufio.NewScanner(command.InOrStdin())
	for nextLine(errors, lines) {
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

// nextLine writes the prompt and reads a line. Prompts don't go where answers go,
// so that these can be piped.
func nextLine(prompts io.Writer, lines *bufio.Scanner) bool {
	fmt.Fprint(prompts, promptText)
	return lines.Scan()
}
