// Package drive has a holder's decisions carried out: it loads what the store holds, polls
// at the workers, sends the orders, stores what has changed and answers callers.
package drive
