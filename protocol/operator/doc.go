// Package operator is the operators' language, the HTTP API that takes it and
// the client of that API.
//
// A statement is one line of text: a query (tables with where, order by and
// limit), an explanation (explain program, explain call) or a command (add, set,
// drain, undrain, reshape, stop, start, remove). docs/design/operator-language.md
// says why it is as it is; docs/operations/operator-language.md is the reference.
//
// Parse turns text into a Statement without looking at the system. Interpreter
// runs a Statement against a Backend, which the node implements. Handler serves
// both over HTTP, Client asks for it, and Commands are the command line.
package operator
