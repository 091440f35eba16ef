package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// responseCrowd is the number of callers that wait for endless responses at the same time.
	responseCrowd = 150
	// responseTime is the deadline of their requests.
	responseTime = 2 * time.Second
)

// endlessResponse is a response of an upstream that does not end: a start, in which ID stands for the fields that name the request and the
// signature, and what follows it again and again.
type endlessResponse struct {
	path, start, repeated string
}

const (
	plainPath    = "/look/crowd"
	streamPath   = "/draft/crowd"
	retainedPath = "/chat/crowd"

	okHead      = "HTTP/1.1 200 OK\r\nID"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	eventHead   = okHead + "Content-Type: text/event-stream\r\n"
)

var endlessResponses = map[string]endlessResponse{
	"no response":                      {plainPath, "", ""},
	"status line":                      {plainPath, "HTTP/1.1 200 ", "x"},
	"no line":                          {plainPath, "", "x"},
	"field":                            {plainPath, okHead + "Long: ", "x"},
	"name of a field":                  {plainPath, okHead, "x"},
	"fields":                           {plainPath, okHead, "Name: value\r\n"},
	"interim responses":                {plainPath, "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	"interim responses with much":      {plainPath, "", "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("Link: a\r\n", 5000) + "\r\n"},
	"responses to others":              {plainPath, "", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000)},
	"response to another":              {plainPath, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	"chunk size":                       {plainPath, chunkedHead, "0"},
	"extension":                        {plainPath, chunkedHead + "1;", "x"},
	"extensions":                       {plainPath, chunkedHead, "1;" + strings.Repeat("x", 1000) + "\r\nd\r\n"},
	"chunks":                           {plainPath, chunkedHead, "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	"chunks of one byte":               {plainPath, chunkedHead, "1\r\nx\r\n"},
	"chunk beyond all":                 {plainPath, chunkedHead + "fffffffffffffff\r\n", "x"},
	"trailer field":                    {plainPath, chunkedHead + "0\r\nLong: ", "x"},
	"trailer fields":                   {plainPath, chunkedHead + "0\r\n", "Name: value\r\n"},
	"body":                             {plainPath, okHead + "\r\n", "x"},
	"length beyond all":                {plainPath, okHead + "Content-Length: 9000000000000000000\r\n\r\n", "x"},
	"length at the limit":              {plainPath, okHead + "Content-Length: 16777216\r\n\r\n", "x"},
	"error":                            {plainPath, "HTTP/1.1 500 Failed\r\nID\r\n", "x"},
	"error without a signature":        {plainPath, "HTTP/1.1 500 Failed\r\n\r\n", "x"},
	"refusal":                          {plainPath, "HTTP/1.1 503 Busy\r\nIDNot-Executed: 1\r\n\r\n", "x"},
	"event":                            {streamPath, eventHead + "\r\ndata: ", "x"},
	"lines of an event":                {streamPath, eventHead + "\r\n", "data: x\n"},
	"comments":                         {streamPath, eventHead + "\r\n", ": x\n\n"},
	"comments after an event":          {streamPath, eventHead + "\r\nid: 1\ndata: x\n\n", ": x\n\n"},
	"events":                           {streamPath, eventHead + "\r\n", "data: x\n\n"},
	"events of the same id":            {streamPath, eventHead + "\r\n", "id: 1\ndata: x\n\n"},
	"events of a retained turn":        {retainedPath, eventHead + "\r\n", "data: x\n\n"},
	"large events of a retained turn":  {retainedPath, eventHead + "\r\n", "data: " + strings.Repeat("x", 60000) + "\n\n"},
	"events of a retained turn, sized": {retainedPath + "/sized", eventHead + "\r\n", "data: x\n\n"},
	"error in place of a stream":       {streamPath, "HTTP/1.1 500 Failed\r\nID\r\n", "x"},
	"error in place of a turn":         {retainedPath, "HTTP/1.1 500 Failed\r\nID\r\n", "x"},
	"error with the type of a stream":  {streamPath, "HTTP/1.1 500 Failed\r\nIDContent-Type: text/event-stream\r\n\r\n", "data: x\n\n"},
	"text in place of a stream":        {streamPath, okHead + "Content-Type: text/plain\r\n\r\n", "x"},
}

// respond sends the response until the client closes the connection. Requests that are not of the crowd get a sound response.
func (r endlessResponse) respond(conn *net.TCPConn, req *http.Request) {
	defer conn.Close()            //nolint:errcheck // a test
	io.Copy(io.Discard, req.Body) //nolint:errcheck // a test
	named := "Request-Id: " + req.Header.Get("Request-Id") + "\r\nResponse-Signature: sig\r\nConnection: close\r\n"
	if !strings.Contains(req.URL.Path, "/crowd") {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+named+"Content-Length: 4\r\n\r\ndone") //nolint:errcheck // a test
		return
	}
	if r.repeated == "" {
		io.Copy(io.Discard, conn) //nolint:errcheck // the end is that of the client
		return
	}
	_, err := io.WriteString(conn, strings.Replace(r.start, "ID", named, 1))
	part := strings.Repeat(r.repeated, max(1, writeBytes/len(r.repeated)))
	for err == nil {
		_, err = io.WriteString(conn, part)
	}
}

// requestOnce sends a request of the crowd and reads its response to the end.
func (r endlessResponse) requestOnce(h *host, number int) {
	conn, err := net.DialTimeout("tcp4", h.settings.CallerAddress, sendTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(sendTimeout)) //nolint:errcheck // a test
	fields := ""
	if strings.HasSuffix(r.path, "/sized") {
		fields = "Token-Usage: 500,100\r\n"
	}
	program := fmt.Sprintf("crowd-%d", number)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: agents.example\r\nRequest-Id: %s\r\nAuthorization: Bearer secret\r\nTime-Remaining-Ms: %d\r\n"+
		"Program-Id: %s\r\nSession-Id: %s\r\nToken-Budget: 1000\r\n%sContent-Length: 0\r\n\r\n",
		r.path, program, responseTime.Milliseconds(), program, program, fields)
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		io.Copy(io.Discard, resp.Body) //nolint:errcheck // the host may break it off
		resp.Body.Close()
	}
}

// run lets a crowd wait for the response at a host several times, and requires that the host stays within its limits and serves ordinary
// requests afterwards.
func (r endlessResponse) run(t *testing.T, opts hostOptions) {
	t.Helper()
	opts.respond = r.respond
	h := startHost(t, opts)
	number := 0
	for round := range rounds {
		var callers sync.WaitGroup
		for range responseCrowd {
			number++
			request := number
			callers.Go(func() { r.requestOnce(h, request) })
		}
		callers.Wait()
		h.requireWithinBounds(hostFiles, fmt.Sprintf("after round %d", round))
		h.requireServes(fmt.Sprintf("after round %d", round))
	}
}

func TestEndlessResponsesOfUpstreams(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) { response.run(t, hostOptions{}) })
	}
}

func TestEndlessResponsesOfUpstreamsWithoutBudget(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) { response.run(t, hostOptions{hasNoBudget: true}) })
	}
}
