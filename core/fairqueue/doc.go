// Package fairqueue decides which waiting call is served next: weighted fair shares of served tokens between
// workspaces, least attained service with ageing between a workspace's programs, and an urgent class that
// goes first up to its share.
package fairqueue
