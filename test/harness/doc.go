// Package harness is what the integration tests need around the processes under
// test: a runner of built binaries and a TCP proxy that injects faults.
//
//	proxy := harness.StartProxy(t)
//	node := harness.Start(t, harness.Command{
//		Name:      "node-1",
//		Path:      filepath.Join(folder, "marblering"), // see Build
//		Arguments: []string{"serve", "--peer-advertise", proxy.Address()},
//	})
//	proxy.SetTarget(node.WaitValue(t, "peer_address"))
//
//	proxy.SetFault(harness.Fault{Mode: harness.DropAnswer, Match: harness.PathContains("/Accept"), Times: 1})
//	harness.Eventually(t, func() (bool, string) { return proxy.Hits() == 1, "no answer was dropped" })
//	node.Pause(t)  // SIGSTOP; also Kill, Terminate
//	node.Resume() // SIGCONT
//	proxy.Heal()
//
// The proxy reads HTTP/1.1 requests, so that a fault can be meant for some of
// them. It reads a request whole and writes it out again with the same method,
// path, headers and body; answers pass as they come. It can't tell by itself
// which process a request is from: give each client a proxy of its own, or match
// a header that the client sets.
//
// Processes end with the test that started them, and their output is logged if
// the test failed. Waits have a generous limit, and no verdict depends on how
// long something took.
package harness
