// Package node implements an entry process (bramleysail serve): it connects the components
// that route requests and run batch jobs, and serves callers, peers and the administration API.
package node
