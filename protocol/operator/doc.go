// Package operator has the operators' language, the HTTP API that takes its
// statements, and the client and command line of that API.
//
// It owns the grammar, the tables with their columns, the rules of the commands
// and the forms of answers and errors. It keeps no state and relies on a [Backend]
// for all that it knows of the system and changes in it.
//
// A statement is one line of text: a query (tables with where, order by and
// limit), an explanation (explain program, explain call) or a command (add, set,
// drain, undrain, reshape, stop, start, remove). docs/design/operator-language.md
// gives the reasons; docs/operations/operator-language.md is the reference.
//
// [Parser] turns text into a [Statement] without looking at the system.
// [Interpreter] runs statements against a Backend, which the node implements.
// [Handler] serves them over HTTP, [Client] sends them, and [Commands] are the
// command line.
package operator
