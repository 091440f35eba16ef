package http1_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/http1"
)

// memory has a limit of bytes.
type memory struct{ held, most, limit int64 }

func (m *memory) Reserve(bytes int64) bool {
	if m.held+bytes > m.limit {
		return false
	}
	m.held += bytes
	m.most = max(m.most, m.held)

	return true
}

func (m *memory) Release(bytes int64)      { m.held -= bytes }
func (m *memory) CanHold(bytes int64) bool { return bytes <= m.limit }

var limits = http1.Limits{HeadBytes: 2000, BodyBytes: 10_000}

// feed feeds data in parts of a size, and returns what follows the request.
func feed(request *http1.Request, data string, size int, m *memory) (rest string, err error) {
	for len(data) > 0 && !request.IsComplete() {
		part := data[:min(size, len(data))]
		taken, err := request.Feed([]byte(part), limits, m)
		if data = data[taken:]; err != nil {
			return data, err
		}
	}

	return data, nil
}

// Guards against the largest body that is refused in calm, since its buffers do not fit while they grow.
func TestBuffersOfLargestBodyGrowWithinTwoThirdsMore(t *testing.T) {
	const body = 4 << 20
	most := http1.Limits{HeadBytes: 2000, BodyBytes: body}
	for _, framing := range []string{"length", "chunks"} {
		for _, size := range []int{1 << 10, 3000, 16 << 10, 50_000, 64 << 10} {
			m := &memory{limit: 1 << 30}
			request := &http1.Request{}
			head := get + "Content-Length: 4194304\r\n\r\n"
			if framing == "chunks" {
				head = get + "Transfer-Encoding: chunked\r\n\r\n400000\r\n"
			}
			_, err := request.Feed([]byte(head), most, m)
			require.NoError(t, err)
			for left := body; left > 0; left -= size {
				_, err := request.Feed(make([]byte, min(size, left)), most, m)
				require.NoError(t, err)
			}
			require.LessOrEqual(t, m.most, int64(body*5/3+64<<10), "%s in parts of %d bytes", framing, size)
		}
	}
}

const get = "GET /a HTTP/1.1\r\nHost: h\r\n"

// Guards against requests that are read in another way depending on how their bytes arrive, and against framing that is passed on.
func TestRequestsAreReadInAnyParts(t *testing.T) {
	long := strings.Repeat("x", 9000)
	for name, test := range map[string]struct{ data, head, body string }{
		"no body":              {get + "\r\n", get + "\r\n", ""},
		"empty line before":    {"\r\n" + get + "\r\n", get + "\r\n", ""},
		"lines without CR":     {"GET /a HTTP/1.1\nHost: h\n\n", get + "\r\n", ""},
		"body":                 {get + "Content-Length: 5\r\n\r\nhello", get + "Content-Length: 5\r\n\r\n", "hello"},
		"empty body":           {get + "content-length: 0\r\n\r\n", get + "content-length: 0\r\n\r\n", ""},
		"long body":            {get + "Content-Length: 9000\r\n\r\n" + long, get + "Content-Length: 9000\r\n\r\n", long},
		"chunks":               {get + "Transfer-Encoding: Chunked\r\n\r\n2\r\nhe\r\n3;a=b\r\nllo\r\n0\r\n\r\n", get + "Content-Length: 5\r\n\r\n", "hello"},
		"no chunk":             {get + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", get + "Content-Length: 0\r\n\r\n", ""},
		"chunks and trailer":   {get + "Trailer: T\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n005 \r\nhello\r\n0\r\nT: v\r\n\r\n", get + "A: b\r\nContent-Length: 5\r\n\r\n", "hello"},
		"expectation":          {get + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello", get + "Content-Length: 5\r\n\r\n", "hello"},
		"version 1.0":          {"POST /a HTTP/1.0\r\nContent-Length: 1\r\n\r\nx", "POST /a HTTP/1.0\r\nContent-Length: 1\r\n\r\n", "x"},
		"bytes of other codes": {get + "A: \xff\t\x80\r\n\r\n", get + "A: \xff\t\x80\r\n\r\n", ""},
	} {
		for _, size := range []int{1, 2, 3, 7, 100, 1 << 20} {
			request, m := &http1.Request{}, &memory{limit: 1 << 20}
			rest, err := feed(request, test.data+"GET /next", size, m)
			require.NoError(t, err, "%s in parts of %d", name, size)
			require.True(t, request.IsComplete(), "%s in parts of %d", name, size)
			require.Equal(t, test.head, string(request.Head()), "%s in parts of %d", name, size)
			require.Equal(t, test.body, string(request.Body()), "%s in parts of %d", name, size)
			require.Equal(t, "GET /next", rest, "%s in parts of %d", name, size)
			require.Equal(t, request.HeldBytes(), m.held, "%s in parts of %d", name, size)
		}
	}
}

// Guards against requests whose end another reader sees elsewhere, and against parts without a limit.
func TestRequestsAreRefused(t *testing.T) {
	const chunks = get + "Transfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", 3000)
	for name, test := range map[string]struct {
		data string
		want error
	}{
		"two lengths":                 {get + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", http1.ErrMalformed},
		"length and chunks":           {get + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", http1.ErrMalformed},
		"chunks and length":           {get + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", http1.ErrMalformed},
		"another coding":              {get + "Transfer-Encoding: gzip, chunked\r\n\r\n", http1.ErrMalformed},
		"identity":                    {get + "Transfer-Encoding: identity\r\n\r\n", http1.ErrMalformed},
		"chunks in version 1.0":       {"GET /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", http1.ErrMalformed},
		"signed length":               {get + "Content-Length: +5\r\n\r\n", http1.ErrMalformed},
		"list of lengths":             {get + "Content-Length: 5, 5\r\n\r\n", http1.ErrMalformed},
		"empty length":                {get + "Content-Length:\r\n\r\n", http1.ErrMalformed},
		"enormous length":             {get + "Content-Length: 99999999999999999999999\r\n\r\n", http1.ErrBodyTooLarge},
		"folded line":                 {get + "A: b\r\n c\r\n\r\n", http1.ErrMalformed},
		"space before colon":          {get + "Content-Length : 5\r\n\r\n", http1.ErrMalformed},
		"no colon":                    {get + "nothing\r\n\r\n", http1.ErrMalformed},
		"carriage return in a value":  {get + "A: b\rContent-Length: 5\r\n\r\n", http1.ErrMalformed},
		"NUL in a value":              {get + "A: \x00\r\n\r\n", http1.ErrMalformed},
		"no version":                  {"GET /a\r\n\r\n", http1.ErrMalformed},
		"another version":             {"GET /a HTTP/2.0\r\n\r\n", http1.ErrMalformed},
		"two spaces":                  {"GET  /a HTTP/1.1\r\n\r\n", http1.ErrMalformed},
		"bytes that are no request":   {"\x16\x03\x01\x00\r\n", http1.ErrMalformed},
		"empty lines":                 {"\r\n\r\n", http1.ErrMalformed},
		"long request line":           {"GET /" + long, http1.ErrHeadTooLarge},
		"long header":                 {get + "A: " + long + "\r\n\r\n", http1.ErrHeadTooLarge},
		"fields that are not kept":    {get + strings.Repeat("Trailer: abcdefgh\r\n", 200), http1.ErrHeadTooLarge},
		"large body":                  {get + "Content-Length: 10001\r\n\r\n", http1.ErrBodyTooLarge},
		"large chunk":                 {chunks + "2711\r\n", http1.ErrBodyTooLarge},
		"many chunks":                 {chunks + strings.Repeat("3e8\r\n"+long[:1000]+"\r\n", 11), http1.ErrBodyTooLarge},
		"long extension":              {chunks + "1;" + long, http1.ErrHeadTooLarge},
		"many extensions":             {chunks + strings.Repeat("1;"+long[:500]+"\r\nx\r\n", 5), http1.ErrHeadTooLarge},
		"many trailer fields":         {chunks + "0\r\n" + strings.Repeat("A: "+long[:500]+"\r\n", 5), http1.ErrHeadTooLarge},
		"signed chunk":                {chunks + "+5\r\nhello\r\n", http1.ErrMalformed},
		"chunk with prefix":           {chunks + "0x5\r\nhello\r\n", http1.ErrMalformed},
		"empty chunk line":            {chunks + "\r\n", http1.ErrMalformed},
		"chunk line without CR":       {chunks + "5\nhello\r\n", http1.ErrMalformed},
		"chunk longer than announced": {chunks + "4\r\nhello\r\n", http1.ErrMalformed},
		"trailer without colon":       {chunks + "0\r\nnothing\r\n", http1.ErrMalformed},
	} {
		for _, size := range []int{1, 5, 1 << 20} {
			m := &memory{limit: 1 << 20}
			_, err := feed(&http1.Request{}, test.data, size, m)
			require.ErrorIs(t, err, test.want, "%s in parts of %d", name, size)
			require.LessOrEqual(t, m.most, int64(3*10_000), "%s in parts of %d", name, size)
		}
	}
}

// Guards against memory for bytes that are only announced.
func TestAnnouncedBytesTakeNoMemory(t *testing.T) {
	for _, data := range []string{get + "Content-Length: 10000\r\n\r\n", get + "Transfer-Encoding: chunked\r\n\r\n2710\r\n"} {
		m := &memory{limit: 1 << 20}
		_, err := feed(&http1.Request{}, data+"x", 1<<20, m)
		require.NoError(t, err)
		require.LessOrEqual(t, m.held, int64(2048))
	}
}

// Guards against buffers that exceed what the body needs, and against memory that is not given back when they grow.
func TestBodyFitsIntoTwiceItsMemory(t *testing.T) {
	body := strings.Repeat("x", int(limits.BodyBytes))
	for _, data := range []string{get + "Content-Length: 10000\r\n\r\n" + body, get + "Transfer-Encoding: chunked\r\n\r\n2710\r\n" + body + "\r\n0\r\n\r\n"} {
		request, m := &http1.Request{}, &memory{limit: 1 << 20}
		_, err := feed(request, data, 100, m)
		require.NoError(t, err)
		require.True(t, request.IsComplete())
		require.LessOrEqual(t, m.most, int64(3*len(body)))
		require.Equal(t, request.HeldBytes(), m.held)
	}
	m := &memory{limit: int64(len(body))}
	_, err := feed(&http1.Request{}, get+"Transfer-Encoding: chunked\r\n\r\n2710\r\n"+body, 100, m)
	require.ErrorIs(t, err, http1.ErrNoMemory)
	m = &memory{limit: int64(len(body)) - 1}
	_, err = feed(&http1.Request{}, get+"Content-Length: 10000\r\n\r\n", 1<<20, m)
	require.ErrorIs(t, err, http1.ErrNoMemory, "before it arrives")
}

// Guards against a client that waits for a reply that does not come, and against a reply after the body has begun to arrive.
func TestExpectationIsAnsweredBeforeTheBody(t *testing.T) {
	request, m := &http1.Request{}, &memory{limit: 1 << 20}
	_, err := feed(request, get+"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n", 1<<20, m)
	require.NoError(t, err)
	require.True(t, request.ExpectsReply())
	_, err = feed(request, "h", 1, m)
	require.NoError(t, err)
	require.False(t, request.ExpectsReply())
	request = &http1.Request{}
	_, err = feed(request, get+"Expect: something\r\n\r\n", 1<<20, m)
	require.NoError(t, err)
	require.False(t, request.ExpectsReply())
	require.True(t, bytes.Contains(request.Head(), []byte("Expect: something")))
}
