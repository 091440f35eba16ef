package main

import (
	"strconv"
	"strings"
)

// tokensPerEvent is what the configuration says of the engines.
const tokensPerEvent = 30

// turnTokens is the most that a turn of runTurn generates.
const turnTokens = 120

// runTurn runs a turn of a program, and returns the answer and the tokens that the client got.
func runTurn(n *Node, key, program string, budget int) (Answer, int) {
	answer := Attempt{
		Path: "/plan/4b", Key: key, Body: "input of " + program,
		Header: map[string]string{
			"Program-Id": program, "Session-Id": program, "Program-Time-Left": "5200", "Token-Budget": strconv.Itoa(budget), "Model": "m",
			"Token-Usage": "100," + strconv.Itoa(turnTokens), "Prompt-Prefix": "5c1e07a2:80,91bd3f06:20",
		},
	}.Send(n.Front)
	tokens := tokensPerEvent * strings.Count(answer.Body, "\n\n")
	n.fleet.Log("turn %s of %s sent to %s: %d, %d tokens, %v %s", answer.ID, program, n.Name, answer.Status, tokens, answer.Err, refusal(answer))

	return answer, tokens
}

// refusal returns the body of an answer that is not a success.
func refusal(answer Answer) string {
	if answer.Status == 200 {
		return ""
	}

	return strings.TrimSpace(answer.Body)
}
