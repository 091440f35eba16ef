// Package quota keeps a workspace within its rate over all hosts: one host owns the workspace's bucket and grants
// small allowances to the hosts that ask, each for a short lease; what a host does not use goes back when it asks again.
package quota
