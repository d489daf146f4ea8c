package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

const (
	headerContentType = "Content-Type"
	headerETag        = "Etag"
	headerIfMatch     = "If-Match"
	headerIfNoneMatch = "If-None-Match"
)

var (
	errVersionCount  = errors.New("answer has another number of versions than the transaction has writes")
	errUnexpectedRow = errors.New("answer is not the row that was asked for")
)

// EntityTag formats a row's version as a strong entity tag (RFC 9110, section
// 8.8.3).
func EntityTag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// ParseEntityTag returns the row version in a strong entity tag.
func ParseEntityTag(tag string) (uint64, error) {
	digits, hasPrefix := strings.CutPrefix(tag, `"`)
	digits, hasSuffix := strings.CutSuffix(digits, `"`)
	if !hasPrefix || !hasSuffix {
		return 0, fmt.Errorf("entity tag %q is not strong", tag)
	}
	version, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("entity tag %q holds no version", tag)
	}
	return version, nil
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	q := call{
		op:      "scan",
		method:  http.MethodGet,
		path:    PathRows,
		query:   url.Values{QueryPrefix: {prefix}},
		maxBody: c.settings.MaxAnswer,
	}
	var scanned ScanResponse
	if err := c.doJSON(ctx, q, &scanned); err != nil {
		return nil, err
	}
	return scanned.Rows, nil
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	q := call{
		op:      "get",
		method:  http.MethodGet,
		path:    PathRow,
		query:   url.Values{QueryKey: {key}},
		maxBody: c.settings.MaxAnswer,
	}
	r, err := c.do(ctx, q)
	if err != nil {
		return Row{}, err
	}
	if r.status == http.StatusNotFound {
		return Row{Key: key}, nil
	}
	if r.status != http.StatusOK {
		return Row{}, q.statusError(r)
	}
	var row Row
	if err := q.decode(r, &row); err != nil {
		return Row{}, err
	}
	if row.Key != key || row.Version == 0 {
		return Row{}, &Error{Op: q.op, Effect: EffectNone, Status: r.status, Err: errUnexpectedRow}
	}
	return row, nil
}

// Commit implements Table. It sends a single write as a conditional PUT or
// DELETE of the row, and several writes as one POST with the expected versions.
func (c *Client) Commit(ctx context.Context, writes []Write) ([]uint64, error) {
	switch len(writes) {
	case 0:
		return nil, nil
	case 1:
		return c.commitOne(ctx, writes[0])
	default:
		return c.commitMany(ctx, writes)
	}
}

func (c *Client) commitOne(ctx context.Context, w Write) ([]uint64, error) {
	if err := c.checkWriteSize("commit", len(w.Value)); err != nil {
		return nil, err
	}
	q := call{
		op:       "commit",
		method:   http.MethodPut,
		path:     PathRow,
		query:    url.Values{QueryKey: {w.Key}},
		header:   precondition(w.Expected),
		body:     w.Value,
		mutating: true,
		maxBody:  c.settings.MaxAnswer,
	}
	if w.Delete {
		q.method, q.body = http.MethodDelete, nil
	}
	r, err := c.do(ctx, q)
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK && r.status != http.StatusNoContent {
		return nil, q.statusError(r)
	}
	if w.Delete {
		return []uint64{0}, nil
	}
	version, err := ParseEntityTag(r.header.Get(headerETag))
	if err != nil {
		return nil, &Error{Op: q.op, Effect: EffectUnknown, Status: r.status, Err: err}
	}
	return []uint64{version}, nil
}

// precondition returns the headers that make a write conditional on the
// expected version, or on the absence of the row if it is 0.
func precondition(expected uint64) http.Header {
	header := http.Header{headerContentType: {mediaTypeBytes}}
	if expected == 0 {
		header.Set(headerIfNoneMatch, "*")
	} else {
		header.Set(headerIfMatch, EntityTag(expected))
	}
	return header
}

func (c *Client) commitMany(ctx context.Context, writes []Write) ([]uint64, error) {
	body, err := json.Marshal(TransactionRequest{Writes: writes})
	if err != nil {
		return nil, &Error{Op: "commit", Effect: EffectNone, Err: err}
	}
	if err := c.checkWriteSize("commit", len(body)); err != nil {
		return nil, err
	}
	q := call{
		op:       "commit",
		method:   http.MethodPost,
		path:     PathTransactions,
		header:   http.Header{headerContentType: {mediaTypeJSON}},
		body:     body,
		mutating: true,
		maxBody:  c.settings.MaxAnswer,
	}
	var committed TransactionResponse
	if err := c.doJSON(ctx, q, &committed); err != nil {
		return nil, err
	}
	if len(committed.Versions) != len(writes) {
		return nil, &Error{Op: q.op, Effect: EffectUnknown, Status: http.StatusOK, Err: errVersionCount}
	}
	return committed.Versions, nil
}

func (c *Client) checkWriteSize(op string, size int) error {
	if int64(size) > c.settings.MaxWrite {
		return &Error{Op: op, Effect: EffectNone, Err: errRequestTooLarge}
	}
	return nil
}
