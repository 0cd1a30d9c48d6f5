package intake

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNoRoom means that the memory for requests in flight is used up.
	ErrNoRoom = errors.New("intake: no memory for the body")
	// ErrTooLarge means that a body is larger than allowed.
	ErrTooLarge = errors.New("intake: body too large")
	// ErrTooSlow means that a body didn't arrive in time.
	ErrTooSlow = errors.New("intake: body too slow")
	// ErrBroken means that a body ended early or is malformed.
	ErrBroken = errors.New("intake: body not read")
)

const (
	// firstBuffer is the size of the first buffer for a body whose size isn't announced, in bytes. It doubles as needed.
	firstBuffer = 4 << 10
	// deadlineStep is by how much a body's deadline has to move until it is set anew.
	deadlineStep = time.Second
	// lingerTime is how long the rest of a refused body is read and discarded, so that its sender can read the answer.
	lingerTime = 500 * time.Millisecond
)

// ReadTime is the time in which a body has to arrive. Its zero value sets no bound.
type ReadTime struct {
	Grace     time.Duration // time for any body
	LeastRate int64         // bytes a second by which a body that is longer under way has to arrive; 0: none may be
}

// after returns the time from its beginning that a body may take of which n bytes have arrived.
func (t ReadTime) after(n int64) time.Duration {
	if t.LeastRate <= 0 {
		return t.Grace
	}
	return t.Grace + time.Duration(float64(n)/float64(t.LeastRate)*float64(time.Second))
}

// Body is a body that was read. Its Release has to be called when the request ends.
type Body struct {
	Data []byte
	*Grant
}

// ReadBody reads the body of a request within the gate's budget, size and time. The error is one of those above, and has
// been counted; the caller answers it and then calls Linger.
func (g *Gate) ReadBody(w http.ResponseWriter, r *http.Request) (Body, error) {
	if r.ContentLength == 0 {
		return Body{}, nil
	}
	if r.ContentLength > g.options.MaxBody {
		return Body{}, g.refuse(CauseLarge, ErrTooLarge)
	}
	conn := connOf(r)
	conn.setState(stateReading)
	defer conn.setState(stateServing)
	rd := &bodyReader{began: time.Now(), time: g.options.ReadTime, control: http.NewResponseController(w)}
	rd.setDeadline(0)
	size := r.ContentLength
	if size < 0 {
		size = firstBuffer
	}
	var ok bool
	if rd.grant, ok = g.options.Budget.TakeForReading(rd.began, Cost(size), rd.revoke); !ok {
		return Body{}, g.refuse(CauseRoom, ErrNoRoom)
	}
	data, err := rd.read(http.MaxBytesReader(w, r.Body, g.options.MaxBody), size, g.options.MaxBody)
	if !rd.grant.EndReading() {
		err = ErrNoRoom
	}
	if err != nil {
		rd.grant.Release()
		return Body{}, g.refuse(causeOf(err), err)
	}
	_ = rd.control.SetReadDeadline(time.Time{}) // fails only where setDeadline has failed
	return Body{data, rd.grant}, nil
}

// Linger limits how long net/http reads what is left of a refused request's body. It is called when the answer was written,
// with a header that closes the connection.
func Linger(w http.ResponseWriter, r *http.Request) {
	connOf(r).setState(stateIdle)
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime)) // fails only without a connection
}

// bodyReader reads one body.
type bodyReader struct {
	grant   *Grant
	control *http.ResponseController
	time    ReadTime
	began   time.Time
	allowed time.Duration // time from began until the deadline in force
}

// setDeadline sets the deadline of a body of which n bytes have arrived, if it has moved far enough. Writers without a
// connection have no deadline, as in tests.
func (rd *bodyReader) setDeadline(n int64) {
	if rd.time.Grace <= 0 {
		return
	}
	allowed := rd.time.after(n)
	if allowed-rd.allowed < deadlineStep && rd.allowed > 0 {
		return
	}
	rd.allowed = allowed
	_ = rd.control.SetReadDeadline(rd.began.Add(allowed))
}

// revoke makes a read in progress fail.
func (rd *bodyReader) revoke() { _ = rd.control.SetReadDeadline(rd.began) }

// read reads a body into a buffer of the given size, which is doubled for a longer one, up to maxSize.
func (rd *bodyReader) read(body io.Reader, size, maxSize int64) ([]byte, error) {
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			// A body of the announced size ends here, without a larger buffer.
			var next [1]byte
			n, err := io.ReadFull(body, next[:])
			if n == 0 {
				return buf, readError(err)
			}
			grown := min(2*int64(cap(buf)), maxSize)
			if !rd.grant.Grow(time.Now(), Cost(grown)) {
				return nil, ErrNoRoom
			}
			buf = append(append(make([]byte, 0, grown), buf...), next[0])
			continue
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, readError(err)
		}
		rd.setDeadline(int64(len(buf)))
		if rd.grant.Revoked() {
			return nil, ErrNoRoom
		}
	}
}

// readError returns the error of a body whose reading ended with err; nil at its end.
func readError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case err == io.EOF:
		return nil
	case errors.As(err, &tooLarge):
		return ErrTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrTooSlow
	}
	return ErrBroken
}

// bufferedBody is a request's body that was read before the request is handled.
type bufferedBody struct {
	*bytes.Reader
	data []byte
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error { return nil }

// ReadAll returns the whole body of a request. One that a gate's handler has read isn't copied.
func ReadAll(w http.ResponseWriter, r *http.Request, maxSize int64) ([]byte, error) {
	if b, ok := r.Body.(*bufferedBody); ok && b.data != nil {
		data := b.data
		b.Reader, b.data = bytes.NewReader(nil), nil // the caller may let go of it
		return data, nil
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSize))
	return data, errors.Wrap(err, "intake")
}
