package server

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"time"

	"vanillabridge/core/proto"
	"vanillabridge/vbstand/record"
)

// HeaderSendNumber holds the caller's number of a send of a request, from 1. Entry instances forward
// it like any header that they do not know.
const HeaderSendNumber = "Stand-Send"

// HeaderRunStart holds the time at which the run began, in microseconds since the Unix epoch.
const HeaderRunStart = "Stand-Start"

// maxBodyBytes bounds how much of the body of a request is read.
const maxBodyBytes = 64 << 20

// Fault is a kind of injected fault.
type Fault string

// The kinds of injected faults.
const (
	FaultNone     Fault = ""
	FaultNoAnswer Fault = "never"    // never answers and holds the request until the connection ends
	FaultReset    Fault = "reset"    // resets the connection halfway through the answer
	FaultTruncate Fault = "truncate" // closes the connection halfway through the answer
	FaultError    Fault = "error"    // answers with status 500 without the service time
	FaultSlow     Fault = "slow"     // sends the answer in ten pieces, each after a further service time
)

// Faults returns all kinds of injected faults.
func Faults() []Fault {
	return []Fault{FaultNone, FaultNoAnswer, FaultReset, FaultTruncate, FaultError, FaultSlow}
}

// ServeHTTP runs one request and records the start and end of the run. It runs none that is meant for another process.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	own := strconv.FormatUint(uint64(s.incarnation), 10)
	if meant := r.Header.Get(proto.HeaderIncarnation); meant != "" && meant != own {
		w.Header().Set(proto.HeaderIncarnation, own)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run, fault := s.beginRun(r)
	s.journal.Write(record.Line{Run: &run})
	err := s.answerRequest(w, r, run.Token, fault)
	s.mu.Lock()
	s.activeRequests--
	run.Active, run.OpenConns = s.activeRequests, s.openConns
	s.mu.Unlock()
	run.Step, run.Time = record.RunEnd, record.Now()
	if err != nil {
		run.Error = err.Error()
	}
	s.journal.Write(record.Line{Run: &run})
	if errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
}

// beginRun counts a request as active and returns the record of its start and the fault to inject.
func (s *Server) beginRun(r *http.Request) (record.Run, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequests++
	s.peakActive = max(s.peakActive, s.activeRequests)
	s.runCount++
	fault := s.opt.Fault
	if s.rng.Float64() >= s.opt.FaultRatio {
		fault = FaultNone
	}
	send, _ := strconv.Atoi(r.Header.Get(HeaderSendNumber))
	return record.Run{
		Step: record.RunStart, ID: s.runCount, Token: path.Base(r.URL.Path), SendNumber: send,
		Request: r.Header.Get(proto.HeaderRequest), Attempt: r.Header.Get(proto.HeaderAttempt),
		Key: r.Header.Get(proto.HeaderKey), Caller: r.Header.Get(proto.HeaderCaller),
		Class: r.Header.Get(proto.HeaderClass), Idempotent: isIdempotent(r),
		Server: s.opt.Name, Incarnation: s.incarnation, Time: record.Now(),
		Active: s.activeRequests, OpenConns: s.openConns, Slots: s.opt.Slots, MaxConns: s.opt.MaxConns,
	}, fault
}

// isIdempotent reports whether the request may run more than once: POST and PATCH only if a header says
// so.
func isIdempotent(r *http.Request) bool {
	switch r.Method {
	case http.MethodPost, http.MethodPatch:
		return r.Header.Get(proto.HeaderIdempotent) == "true"
	default:
		return true
	}
}

// answerRequest reads the request and writes its answer, subject to the injected fault.
func (s *Server) answerRequest(w http.ResponseWriter, r *http.Request, token string, fault Fault) error {
	start := record.Now()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return fmt.Errorf("read request body: %w", err)
	}
	if fault == FaultNoAnswer {
		<-r.Context().Done()
		return errors.New("injected fault: no answer sent")
	}
	answer := NewAnswer(token, body, s.opt.AnswerBytes)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.Header().Set(HeaderRunStart, strconv.FormatInt(int64(start), 10))
	if fault == FaultError {
		// The body passes VerifyAnswer despite the status: it is complete and belongs to the request.
		w.WriteHeader(http.StatusInternalServerError)
		return writeAnswer(w, answer)
	}
	time.Sleep(s.opt.ServiceTime)
	switch fault {
	case FaultReset, FaultTruncate:
		return writeHalf(w, answer, fault)
	case FaultSlow:
		return writeSlowly(w, answer, s.opt.ServiceTime)
	default:
		return writeAnswer(w, answer)
	}
}

// writeAnswer writes the last byte separately. That byte stays in the buffer of net/http until the
// handler has returned, so the request no longer counts as active when the caller has the complete
// answer.
func writeAnswer(w http.ResponseWriter, answer []byte) error {
	if _, err := w.Write(answer[:len(answer)-1]); err != nil {
		return err
	}
	_, err := w.Write(answer[len(answer)-1:])
	return err
}

// writeHalf writes the first half of the answer and then closes or resets the connection.
func writeHalf(w http.ResponseWriter, answer []byte, fault Fault) error {
	_, _ = w.Write(answer[:len(answer)/2])
	control := http.NewResponseController(w)
	_ = control.Flush()
	if fault == FaultTruncate {
		return http.ErrAbortHandler
	}
	conn, _, err := control.Hijack()
	if err != nil {
		return fmt.Errorf("hijack connection: %w", err)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send a TCP reset
	}
	_ = conn.Close()
	return errors.New("injected fault: connection reset")
}

// writeSlowly writes the answer in equal pieces and waits for serviceTime before each of them.
func writeSlowly(w http.ResponseWriter, answer []byte, serviceTime time.Duration) error {
	const pieces = 10
	control := http.NewResponseController(w)
	for i := range pieces {
		from, to := len(answer)*i/pieces, len(answer)*(i+1)/pieces
		time.Sleep(serviceTime)
		if i == pieces-1 {
			return writeAnswer(w, answer[from:to])
		}
		if _, err := w.Write(answer[from:to]); err != nil {
			return err
		}
		if err := control.Flush(); err != nil {
			return err
		}
	}
	return nil
}
