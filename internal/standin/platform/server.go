package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"sniperail.example/sniperail/internal/platform/wire"
	"sniperail.example/sniperail/internal/store"
)

// maxBodyBytes bounds the body of a request. The service holds values of up to 1 MB, which base64 makes a third longer.
const maxBodyBytes = 4 << 20

// Handler returns the HTTP handler of the service's API and of the stand-in's own paths, GET /standin/counts and POST
// /standin/faults.
func (s *Service) Handler() http.Handler {
	e := echo.New()
	e.POST(wire.PathRange, s.handleRange)
	e.POST(wire.PathTxn, s.handleTxn)
	e.POST(wire.PathGrant, s.handleGrant)
	e.POST(wire.PathKeepAlive, s.handleKeepAlive)
	e.POST(wire.PathRevoke, s.handleRevoke)
	e.POST(wire.PathWatch, s.handleWatch)
	e.GET("/standin/counts", func(c *echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) })
	e.POST("/standin/faults", s.handleFaults)
	return e
}

// decode reads and decodes the body of a request.
func decode[T any](c *echo.Context) (T, error) {
	var zero T
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return zero, err
	}
	return wire.Decode[T](body)
}

func sendInvalid(c *echo.Context, text string) error {
	return sendResponse(c, errorResponse(http.StatusBadRequest, wire.CodeInvalidArgument, text))
}

func sendResponse(c *echo.Context, r callResponse) error {
	if r.drop {
		// This makes the server close the connection without a response.
		panic(http.ErrAbortHandler)
	}
	return c.JSON(r.status, r.body)
}

func (s *Service) handleRange(c *echo.Context) error {
	request, err := decode[wire.RangeRequest](c)
	if err != nil {
		return sendInvalid(c, err.Error())
	}
	kind := store.KindGet
	if len(request.RangeEnd) > 0 {
		kind = store.KindList
	}
	return sendResponse(c, s.call(kind, func(time.Time) callResponse {
		return callResponse{status: http.StatusOK, body: s.state.read(request)}
	}))
}

func (s *Service) handleTxn(c *echo.Context) error {
	request, err := decode[wire.TxnRequest](c)
	if err != nil {
		return sendInvalid(c, err.Error())
	}
	if problem := validateTxn(request); problem != "" {
		return sendInvalid(c, problem)
	}
	return sendResponse(c, s.call(store.KindTxn, func(time.Time) callResponse {
		response, ok := s.state.txn(request)
		if !ok {
			return errorResponse(http.StatusNotFound, wire.CodeNotFound, wire.MessageLeaseNotFound)
		}
		return callResponse{status: http.StatusOK, body: response}
	}))
}

// maxOperations is the service's limit on the operations in one branch of a transaction.
const maxOperations = 128

// validateTxn returns the error message for an invalid transaction, or an empty string for a valid one.
func validateTxn(request wire.TxnRequest) string {
	if len(request.Compare) > maxOperations || len(request.Success) > maxOperations || len(request.Failure) > maxOperations {
		return "etcdserver: too many operations in txn request"
	}
	for _, compare := range request.Compare {
		if compare.Result != wire.ResultEqual || (compare.Target != wire.TargetCreate && compare.Target != wire.TargetMod) {
			return "stand-in: only EQUAL comparisons of CREATE or MOD are served"
		}
	}
	for _, branch := range [][]wire.Operation{request.Success, request.Failure} {
		written := map[string]bool{}
		for _, operation := range branch {
			var key string
			switch {
			case operation.Put != nil:
				key = string(operation.Put.Key)
			case operation.Delete != nil:
				key = string(operation.Delete.Key)
			default:
				continue
			}
			if key == "" {
				return "etcdserver: key is not provided"
			}
			if written[key] {
				return "etcdserver: duplicate key given in txn request"
			}
			written[key] = true
		}
	}
	return ""
}

// maxTTL is the service's limit on the lifetime of a lease, in seconds.
const maxTTL = 9_000_000_000

func (s *Service) handleGrant(c *echo.Context) error {
	request, err := decode[wire.GrantRequest](c)
	if err != nil {
		return sendInvalid(c, err.Error())
	}
	if request.TTL <= 0 || request.TTL > maxTTL || request.ID != 0 {
		return sendInvalid(c, "stand-in: a grant needs a TTL of 1 to 9000000000 and no ID")
	}
	return sendResponse(c, s.call(store.KindGrant, func(now time.Time) callResponse {
		return callResponse{status: http.StatusOK, body: s.state.grant(request, now)}
	}))
}

func (s *Service) handleKeepAlive(c *echo.Context) error {
	request, err := decode[wire.LeaseRequest](c)
	if err != nil {
		return sendInvalid(c, err.Error())
	}
	return sendResponse(c, s.call(store.KindKeepAlive, func(now time.Time) callResponse {
		response := s.state.keepAlive(int64(request.ID), now)
		return callResponse{status: http.StatusOK, body: wire.KeepAliveMessage{Result: &response}}
	}))
}

func (s *Service) handleRevoke(c *echo.Context) error {
	request, err := decode[wire.LeaseRequest](c)
	if err != nil {
		return sendInvalid(c, err.Error())
	}
	return sendResponse(c, s.call(store.KindRevoke, func(time.Time) callResponse {
		if !s.state.revoke(int64(request.ID)) {
			return errorResponse(http.StatusNotFound, wire.CodeNotFound, wire.MessageLeaseNotFound)
		}
		return callResponse{status: http.StatusOK, body: wire.LeaseResponse{Header: s.state.header()}}
	}))
}

// handleWatch streams one JSON message per line until the client or the service ends the watch.
func (s *Service) handleWatch(c *echo.Context) error {
	request, err := decode[wire.WatchRequest](c)
	if err != nil || request.Create == nil || len(request.Create.Key) == 0 {
		return sendInvalid(c, "stand-in: a watch needs create_request with a key")
	}
	var w *watcher
	response := s.call(KindWatch, func(time.Time) callResponse {
		started, ok := s.state.startWatch(*request.Create)
		first := &wire.WatchResponse{Header: s.state.header(), Created: true}
		if !ok {
			first.Canceled, first.CompactRevision = true, wire.Int64(s.state.compacted+1)
		}
		w = started
		return callResponse{status: http.StatusOK, body: wire.WatchMessage{Result: first}}
	})
	if w == nil {
		return sendResponse(c, response)
	}
	defer s.runInLoop(func(time.Time) { s.state.endWatch(w) })
	c.Response().Header().Set("Content-Type", "application/json")
	c.Response().WriteHeader(http.StatusOK)
	encoder, flush := json.NewEncoder(c.Response()), http.NewResponseController(c.Response())
	message := response.body
	for {
		if encoder.Encode(message) != nil || flush.Flush() != nil {
			return nil
		}
		select {
		case events, open := <-w.events:
			if !open {
				panic(http.ErrAbortHandler)
			}
			message = wire.WatchMessage{Result: &wire.WatchResponse{Header: wire.Header{
				Revision: events[len(events)-1].KV.ModRevision,
			}, Events: events}}
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// maxSlowMS bounds the delay of calls, so that a value in a wrong unit does not block the stand-in permanently.
const maxSlowMS = 600_000

func (s *Service) handleFaults(c *echo.Context) error {
	faults, err := decode[Faults](c)
	if err != nil {
		return sendInvalid(c, err.Error())
	}
	if faults.Down != nil && *faults.Down != Up && *faults.Down != DownRefuse && *faults.Down != DownDrop {
		return sendInvalid(c, `stand-in: down must be "", "refuse" or "drop"`)
	}
	if (faults.SlowMS != nil && (*faults.SlowMS < 0 || *faults.SlowMS > maxSlowMS)) ||
		(faults.LoseAnswers != nil && *faults.LoseAnswers < 0) {
		return sendInvalid(c, "stand-in: slow_ms must be 0 to 600000 and lose_answers not below 0")
	}
	s.SetFaults(faults)
	return c.JSON(http.StatusOK, s.Counts())
}
