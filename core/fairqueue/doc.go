// Package fairqueue is a weighted fair queue of waiting calls. Workspaces share the served tokens by weight;
// among the programs of a workspace the one with the least attained service goes first, with ageing against
// starvation. Urgent calls go before routine ones until they are too far ahead of their share of the tokens.
package fairqueue
