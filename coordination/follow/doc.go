// Package follow keeps a copy of one kind of objects of a store up to date: it
// lists them once and then follows their changes by held calls. Each call is
// bounded in time, so that a store that says nothing holds up nobody; what is
// known stays in use while the store is away, and never goes back.
package follow
