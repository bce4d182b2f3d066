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

// maxBody bounds a request. The service holds values up to 1 MB, which base64 makes a third longer.
const maxBody = 4 << 20

// Handler serves the API of the service and the paths of the stand-in itself: GET /standin/counts and POST
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

// decode reads the body of a request.
func decode[T any](c *echo.Context) (T, error) {
	var zero T
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	if err != nil {
		return zero, err
	}
	return wire.Decode[T](body)
}

func invalid(c *echo.Context, text string) error {
	return send(c, failure(http.StatusBadRequest, wire.CodeInvalidArgument, text))
}

func send(c *echo.Context, r reply) error {
	if r.drop {
		// The server closes the connection without an answer.
		panic(http.ErrAbortHandler)
	}
	return c.JSON(r.status, r.body)
}

func (s *Service) handleRange(c *echo.Context) error {
	request, err := decode[wire.RangeRequest](c)
	if err != nil {
		return invalid(c, err.Error())
	}
	kind := store.KindGet
	if len(request.RangeEnd) > 0 {
		kind = store.KindList
	}
	return send(c, s.serve(kind, func(time.Time) reply {
		return reply{status: http.StatusOK, body: s.state.get(request)}
	}))
}

func (s *Service) handleTxn(c *echo.Context) error {
	request, err := decode[wire.TxnRequest](c)
	if err != nil {
		return invalid(c, err.Error())
	}
	if problem := checkTxn(request); problem != "" {
		return invalid(c, problem)
	}
	return send(c, s.serve(store.KindTxn, func(time.Time) reply {
		answer, ok := s.state.txn(request)
		if !ok {
			return failure(http.StatusNotFound, wire.CodeNotFound, wire.MessageLeaseNotFound)
		}
		return reply{status: http.StatusOK, body: answer}
	}))
}

// maxOperations is the limit of the service for one branch of a transaction.
const maxOperations = 128

// checkTxn returns why the service refuses a transaction, or an empty text.
func checkTxn(request wire.TxnRequest) string {
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

// maxTTL is the limit of the service in seconds.
const maxTTL = 9_000_000_000

func (s *Service) handleGrant(c *echo.Context) error {
	request, err := decode[wire.GrantRequest](c)
	if err != nil {
		return invalid(c, err.Error())
	}
	if request.TTL <= 0 || request.TTL > maxTTL || request.ID != 0 {
		return invalid(c, "stand-in: a grant needs a TTL of 1 to 9000000000 and no ID")
	}
	return send(c, s.serve(store.KindGrant, func(now time.Time) reply {
		return reply{status: http.StatusOK, body: s.state.grant(request, now)}
	}))
}

func (s *Service) handleKeepAlive(c *echo.Context) error {
	request, err := decode[wire.LeaseRequest](c)
	if err != nil {
		return invalid(c, err.Error())
	}
	return send(c, s.serve(store.KindKeepAlive, func(now time.Time) reply {
		answer := s.state.keepAlive(int64(request.ID), now)
		return reply{status: http.StatusOK, body: wire.KeepAliveMessage{Result: &answer}}
	}))
}

func (s *Service) handleRevoke(c *echo.Context) error {
	request, err := decode[wire.LeaseRequest](c)
	if err != nil {
		return invalid(c, err.Error())
	}
	return send(c, s.serve(store.KindRevoke, func(time.Time) reply {
		if !s.state.revoke(int64(request.ID)) {
			return failure(http.StatusNotFound, wire.CodeNotFound, wire.MessageLeaseNotFound)
		}
		return reply{status: http.StatusOK, body: wire.LeaseResponse{Header: s.state.header()}}
	}))
}

// handleWatch streams one JSON message a line until either side ends the watch.
func (s *Service) handleWatch(c *echo.Context) error {
	request, err := decode[wire.WatchRequest](c)
	if err != nil || request.Create == nil || len(request.Create.Key) == 0 {
		return invalid(c, "stand-in: a watch needs create_request with a key")
	}
	var w *watcher
	answer := s.serve(KindWatch, func(time.Time) reply {
		started, ok := s.state.startWatch(*request.Create)
		first := &wire.WatchResponse{Header: s.state.header(), Created: true}
		if !ok {
			first.Canceled, first.CompactRevision = true, wire.Int64(s.state.compacted+1)
		}
		w = started
		return reply{status: http.StatusOK, body: wire.WatchMessage{Result: first}}
	})
	if w == nil {
		return send(c, answer)
	}
	defer s.do(func(time.Time) { s.state.endWatch(w) })
	c.Response().Header().Set("Content-Type", "application/json")
	c.Response().WriteHeader(http.StatusOK)
	encoder, flush := json.NewEncoder(c.Response()), http.NewResponseController(c.Response())
	message := answer.body
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

// maxSlowMS bounds how long a call can be delayed, so that a wrong unit does not block the stand-in for good.
const maxSlowMS = 600_000

func (s *Service) handleFaults(c *echo.Context) error {
	faults, err := decode[Faults](c)
	if err != nil {
		return invalid(c, err.Error())
	}
	if faults.Down != nil && *faults.Down != Up && *faults.Down != DownRefuse && *faults.Down != DownDrop {
		return invalid(c, `stand-in: down must be "", "refuse" or "drop"`)
	}
	if (faults.SlowMS != nil && (*faults.SlowMS < 0 || *faults.SlowMS > maxSlowMS)) ||
		(faults.LoseAnswers != nil && *faults.LoseAnswers < 0) {
		return invalid(c, "stand-in: slow_ms must be 0 to 600000 and lose_answers not below 0")
	}
	s.SetFaults(faults)
	return c.JSON(http.StatusOK, s.Counts())
}
