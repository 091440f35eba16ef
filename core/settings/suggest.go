package settings

import (
	"fmt"
	"slices"
)

// suggestName returns a hint with the known word that is closest to a mistyped one, or "" if none is close.
func suggestName(word string, known []string) string {
	const maxWordBytes = 64
	if len(word) > maxWordBytes {
		return ""
	}
	bestDistance, bestName := len(word)/3+1, ""
	for _, candidate := range known {
		if distance := editDistance(word, candidate); distance <= bestDistance && (bestName == "" || distance < bestDistance) {
			bestDistance, bestName = distance, candidate
		}
	}
	if bestName == "" {
		return ""
	}

	return fmt.Sprintf(", did you mean %q?", bestName)
}

// editDistance returns the Damerau-Levenshtein distance (optimal string alignment) between two words, in bytes.
func editDistance(a, b string) int {
	previous, current := make([]int, len(b)+1), make([]int, len(b)+1)
	var secondPrevious []int
	for j := range current {
		current[j] = j
	}
	for i := 1; i <= len(a); i++ {
		secondPrevious, previous, current = previous, slices.Clone(current), make([]int, len(b)+1)
		current[0] = i
		for j := 1; j <= len(b); j++ {
			substitutionCost := 1
			if a[i-1] == b[j-1] {
				substitutionCost = 0
			}
			current[j] = min(previous[j]+1, current[j-1]+1, previous[j-1]+substitutionCost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				current[j] = min(current[j], secondPrevious[j-2]+1)
			}
		}
	}

	return current[len(b)]
}
