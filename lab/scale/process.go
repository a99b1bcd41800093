package scale

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/ansel1/merry/v2"
)

// GroupCommand is the argument that makes this program run ServeGroup on its
// standard input and output.
const GroupCommand = "scale-group"

// stopTimeout bounds how long the nodes of a process may take to stop.
const stopTimeout = 10 * time.Second

// group is the other end of ServeGroup.
type group struct {
	nodes   int
	callers []string
	input   io.WriteCloser
	encoder *json.Encoder
	decoder *json.Decoder
	stop    func() error
}

// launcher starts a ServeGroup and returns its input, output and what waits for
// its end.
type launcher func(ctx context.Context) (io.WriteCloser, io.Reader, func() error, error)

// launchProcess starts this program's own binary; the end of the context kills
// it.
func launchProcess(ctx context.Context) (io.WriteCloser, io.Reader, func() error, error) {
	binary, err := os.Executable()
	if err != nil {
		return nil, nil, nil, merry.Prepend(err, "finding this program's file")
	}
	command := exec.CommandContext(ctx, binary, GroupCommand)
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		return nil, nil, nil, err
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, nil, nil, err
	}
	if err := command.Start(); err != nil {
		return nil, nil, nil, merry.Prepend(err, "starting a process of nodes")
	}
	wait := func() error {
		killer := time.AfterFunc(stopTimeout, func() { _ = command.Process.Kill() })
		defer killer.Stop()
		return command.Wait()
	}
	return input, output, wait, nil
}

// startGroup launches a group and returns once its nodes are ready, together
// with the addresses that later groups may join by.
func startGroup(ctx context.Context, launch launcher, options groupOptions) (started *group, peers []string, err error) {
	input, output, wait, err := launch(ctx)
	if err != nil {
		return nil, nil, err
	}
	started = &group{
		nodes: options.Nodes, input: input,
		encoder: json.NewEncoder(input), decoder: json.NewDecoder(output), stop: wait,
	}
	reply, err := started.exchange(options)
	if err != nil {
		_ = started.close()
		return nil, nil, merry.Prependf(err, "starting nodes %d to %d", options.First+1, options.First+options.Nodes)
	}
	started.callers = reply.Callers
	return started, reply.Peers, nil
}

// exchange sends one message and waits for its reply.
func (g *group) exchange(message any) (groupReply, error) {
	if err := g.encoder.Encode(message); err != nil {
		return groupReply{}, err
	}
	var reply groupReply
	if err := g.decoder.Decode(&reply); err != nil {
		return groupReply{}, merry.Prepend(err, "waiting for a process of nodes")
	}
	if reply.Failure != "" {
		return groupReply{}, merry.New(reply.Failure)
	}
	return reply, nil
}

func (g *group) close() error {
	_ = g.input.Close()
	return merry.Prepend(g.stop(), "stopping a process of nodes")
}
