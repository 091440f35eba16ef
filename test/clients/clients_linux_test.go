package clients

import (
	"strings"
	"testing"
)

// Each test guards against a host that ends, hangs, exceeds its memory or leaves ordinary callers without an answer.

func TestAnnouncedChunksAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: announcedChunk}.run(t)
}

func TestAnnouncedChunksAtCallerPortWithoutBudget(t *testing.T) {
	crowd{addresses: atCallers, client: announcedChunk, hostOptions: hostOptions{hasNoBudget: true}}.run(t)
}

func TestAnnouncedLengthsAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: announcedLength}.run(t)
}

func TestAnnouncedLengthsAtCallerPortWithoutBudget(t *testing.T) {
	crowd{addresses: atCallers, client: announcedLength, hostOptions: hostOptions{hasNoBudget: true}}.run(t)
}

func TestContinuedBodiesThatDoNotArriveAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: continued}.run(t)
}

func TestUnendedLargeChunksAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: sendChunks(1<<20, 14<<20)}.run(t)
}

func TestUnendedSmallChunksAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: sendChunks(4<<10, 100<<10)}.run(t)
}

func TestUnendedChunksOfOneByteAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: sendChunks(1, 600<<10)}.run(t)
}

func TestUnendedChunksOfOneByteAtCallerPortWithoutBudget(t *testing.T) {
	crowd{addresses: atCallers, client: sendChunks(1, endlessBytes), hostOptions: hostOptions{hasNoBudget: true}}.run(t)
}

func TestChunksThatStopShortAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: stopShort("chunked")}.run(t)
}

func TestChunksThatStopShortAtCallerPortWithoutBudget(t *testing.T) {
	crowd{addresses: atCallers, client: stopShort("chunked"), hostOptions: hostOptions{hasNoBudget: true}}.run(t)
}

func TestBodiesThatStopShortAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: stopShort("length")}.run(t)
}

func TestBodiesThatStopShortAtCallerPortWithoutBudget(t *testing.T) {
	crowd{addresses: atCallers, client: stopShort("length"), hostOptions: hostOptions{hasNoBudget: true}}.run(t)
}

func TestLargestBodyIsServedBesideBodiesThatStopShort(t *testing.T) {
	crowd{addresses: atCallers, client: stopShort("chunked"), sendsLargest: true}.run(t)
}

func TestLargestBodyIsServedBesideBodiesThatStopShortWithoutBudget(t *testing.T) {
	crowd{addresses: atCallers, client: stopShort("length"), sendsLargest: true, hostOptions: hostOptions{hasNoBudget: true}}.run(t)
}

func TestEndlessChunkExtensionsAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: endlessExtension}.run(t)
}

func TestEndlessTrailersAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: endlessTrailer}.run(t)
}

func TestLongHeadsAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: longHead}.run(t)
}

func TestEndlessHeadsAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: endlessHead}.run(t)
}

func TestEndlessRequestLinesAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: endlessLine}.run(t)
}

func TestEmptyLinesAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: emptyLines}.run(t)
}

func TestKeptConnectionsAfterLargeRequestsAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: completeAndStay}.run(t)
}

func TestKeptConnectionsAfterLargeRequestsAtCallerPortWithoutBudget(t *testing.T) {
	crowd{addresses: atCallers, client: completeAndStay, hostOptions: hostOptions{hasNoBudget: true}}.run(t)
}

func TestUnendedEventsOfUpstreams(t *testing.T) {
	crowd{addresses: atCallers, client: askForStream, hostOptions: hostOptions{unendedEventBytes: 900 << 10}}.run(t)
}

func TestUnendedEventsOfUpstreamsWithoutBudget(t *testing.T) {
	crowd{addresses: atCallers, client: askForStream, hostOptions: hostOptions{unendedEventBytes: 900 << 10, hasNoBudget: true}}.run(t)
}

func TestPipelinedRequestsAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: pipeline}.run(t)
}

// Heads of 15 KB are within the configured limit of 16 KB, and those of 64 KB within that of the other ports.
const (
	callerFields   = 3800
	distinctNames  = 2200
	operatorFields = 16000
	// quietEventBytes are the bytes of a stream that then stays open.
	quietEventBytes = 10
)

func TestManyHeaderFieldsAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: ask("/draft/x", emptyFields(callerFields), ""), hostOptions: hostOptions{unendedEventBytes: quietEventBytes}}.run(t)
}

func TestManyHeaderFieldsAtCallerPortWithoutBudget(t *testing.T) {
	crowd{
		addresses: atCallers, client: ask("/draft/x", emptyFields(callerFields), ""),
		hostOptions: hostOptions{unendedEventBytes: quietEventBytes, hasNoBudget: true},
	}.run(t)
}

func TestDistinctHeaderFieldsAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: ask("/draft/x", distinctFields(distinctNames), ""), hostOptions: hostOptions{unendedEventBytes: quietEventBytes}}.run(t)
}

func TestManyHeaderFieldsAtDirectory(t *testing.T) {
	crowd{addresses: atDirectory, client: ask("/x", emptyFields(operatorFields), "")}.run(t)
}

func TestManyHeaderFieldsAtPeerPort(t *testing.T) {
	crowd{addresses: atPeers, client: ask("/x", emptyFields(operatorFields), "")}.run(t)
}

func TestBytesBehindRequestsForStreams(t *testing.T) {
	crowd{
		addresses: atCallers, client: ask("/draft/x", "", strings.Repeat("x", 15<<10)), size: 5 * crowdSize,
		hostOptions: hostOptions{unendedEventBytes: quietEventBytes},
	}.run(t)
}

func TestManyBytesBehindRequestsForStreams(t *testing.T) {
	crowd{
		addresses: atCallers, client: ask("/draft/x", "", strings.Repeat("x", 1<<20)), size: 2 * crowdSize,
		hostOptions: hostOptions{unendedEventBytes: quietEventBytes},
	}.run(t)
}

func TestManyPrograms(t *testing.T) {
	crowd{addresses: atCallers, client: beginPrograms(250), hostOptions: hostOptions{hasStreams: true}}.run(t)
}

func TestUnreadResponsesAtCallerPort(t *testing.T) {
	crowd{addresses: atCallers, client: ask("/look/x", "", ""), hostOptions: hostOptions{responseBytes: 1 << 20}}.run(t)
}

func TestUnreadResponsesAtCallerPortWithoutBudget(t *testing.T) {
	crowd{addresses: atCallers, client: ask("/look/x", "", ""), hostOptions: hostOptions{responseBytes: 1 << 20, hasNoBudget: true}}.run(t)
}

func TestAnnouncedChunksAtDirectory(t *testing.T) {
	crowd{addresses: atDirectory, client: announcedChunk}.run(t)
}

func TestEndlessTrailersAtDirectory(t *testing.T) {
	crowd{addresses: atDirectory, client: endlessTrailer}.run(t)
}

func TestLongHeadsAtDirectory(t *testing.T) {
	crowd{addresses: atDirectory, client: longHead}.run(t)
}

func TestEndlessHeadsAtDirectory(t *testing.T) {
	crowd{addresses: atDirectory, client: endlessHead}.run(t)
}

func TestEmptyLinesAtDirectory(t *testing.T) {
	crowd{addresses: atDirectory, client: emptyLines}.run(t)
}

func TestPipelinedRequestsAtDirectory(t *testing.T) {
	crowd{addresses: atDirectory, client: pipeline}.run(t)
}

func TestEndlessTrailersAtReadiness(t *testing.T) {
	crowd{addresses: atReadiness, client: endlessTrailer}.run(t)
}

func TestEndlessHeadsAtReadiness(t *testing.T) {
	crowd{addresses: atReadiness, client: endlessHead}.run(t)
}

func TestAnnouncedLengthsAtMetrics(t *testing.T) {
	crowd{addresses: atMetrics, client: announcedLength}.run(t)
}

func TestEndlessTrailersAtMetrics(t *testing.T) {
	crowd{addresses: atMetrics, client: endlessTrailer}.run(t)
}

func TestEndlessHeadsAtMetrics(t *testing.T) {
	crowd{addresses: atMetrics, client: endlessHead}.run(t)
}

func TestAnnouncedChunksAtPeerPort(t *testing.T) {
	crowd{addresses: atPeers, client: announcedChunk}.run(t)
}

func TestEndlessTrailersAtPeerPort(t *testing.T) {
	crowd{addresses: atPeers, client: endlessTrailer}.run(t)
}

func TestEndlessHeadsAtPeerPort(t *testing.T) {
	crowd{addresses: atPeers, client: endlessHead}.run(t)
}

func TestEndlessHeadsAtRelay(t *testing.T) {
	crowd{addresses: atRelay, client: endlessHead}.run(t)
}

func TestEndlessRequestLinesAtRelay(t *testing.T) {
	crowd{addresses: atRelay, client: endlessLine}.run(t)
}

func TestLongHeadsAtAllPorts(t *testing.T) {
	crowd{addresses: atAll, client: longHead, size: crowdSize / 2}.run(t)
}

// The following crowds have more connections than the host has descriptors.

const (
	fewFiles       = 300
	idleCrowdSize  = 600
	idlePerAddress = 200
)

func TestIdleConnectionsAtCallerPortTakeAllDescriptors(t *testing.T) {
	crowd{addresses: atCallers, client: nothing, size: idleCrowdSize, hostOptions: hostOptions{files: fewFiles}}.run(t)
}

func TestIdleConnectionsAtDirectoryTakeAllDescriptors(t *testing.T) {
	crowd{addresses: atDirectory, client: nothing, size: idleCrowdSize, hostOptions: hostOptions{files: fewFiles}}.run(t)
}

func TestIdleConnectionsAtReadinessTakeAllDescriptors(t *testing.T) {
	crowd{addresses: atReadiness, client: nothing, size: idleCrowdSize, hostOptions: hostOptions{files: fewFiles}}.run(t)
}

func TestIdleConnectionsAtPeerPortTakeAllDescriptors(t *testing.T) {
	crowd{addresses: atPeers, client: nothing, size: idleCrowdSize, hostOptions: hostOptions{files: fewFiles}}.run(t)
}

func TestIdleConnectionsAtRelayTakeAllDescriptors(t *testing.T) {
	crowd{addresses: atRelay, client: nothing, size: idleCrowdSize, hostOptions: hostOptions{files: fewFiles}}.run(t)
}

func TestIdleConnectionsAtAllPortsTakeAllDescriptors(t *testing.T) {
	crowd{addresses: atAll, client: nothing, size: idlePerAddress, hostOptions: hostOptions{files: fewFiles}}.run(t)
}

func TestUnreadResponsesAtDirectoryTakeAllDescriptors(t *testing.T) {
	crowd{addresses: atDirectory, client: askOnly, size: idleCrowdSize, hostOptions: hostOptions{files: fewFiles}}.run(t)
}

// Guards against memory that idle connections take, however many descriptors the host has.
func TestIdleConnectionsTakeNoMemory(t *testing.T) {
	crowd{addresses: atCallers, client: nothing, size: 8 * crowdSize}.run(t)
}
