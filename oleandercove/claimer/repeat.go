package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"

	"oleandercove.example/core/api"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/request"
)

// hashBytes is the length of keys and fingerprints; with 16 bytes a collision of two
// bookings is practically impossible.
const hashBytes = 16

// hash prefixes each part with its length, so that different lists of parts are never
// hashed as the same bytes.
func hash(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_ = binary.Write(h, binary.BigEndian, uint64(len(p)))
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil)[:hashBytes])
}

func keyOf(r *request.Request) Key {
	return Key(hash(string(r.Account), string(r.Name), r.IdempotencyKey))
}

func fingerprintOf(r *request.Request) Fingerprint {
	c := r.Call
	return Fingerprint(hash(c.Method, c.Path, c.Query, c.Header.Get("Content-Type"), string(c.Body)))
}

func bucketName(k Key, buckets int) string {
	b, err := hex.DecodeString(string(k))
	if err != nil || len(b) < 8 {
		return "claims-0"
	}
	return fmt.Sprintf("claims-%d", binary.BigEndian.Uint64(b)%uint64(buckets))
}

// handleRepeat answers a request whose key belongs to an earlier claim: with the stored
// response of a Done claim, and otherwise with a refusal.
func handleRepeat(r *request.Request, row Claim, earlier *Claim) error {
	switch {
	case earlier.Fingerprint != row.Fingerprint:
		return verdict.New(verdict.NotRun, verdict.BadRequest, "the idempotency key belongs to another request")
	case earlier.State == Done && earlier.Response != nil:
		r.Call.Result = replay(earlier.Response)
		return nil
	default:
		return verdict.New(verdict.MayHaveRun, verdict.DuplicateRunning, "an earlier request with this key is running, or its outcome is unknown").WithRetryAfter(retryAfter)
	}
}

// newResponse converts a result to its stored form. A response longer than maxBodyBytes
// is stored with its status only.
func newResponse(res *request.Result) *Response {
	s := &Response{Status: res.Status, ContentType: res.Header.Get("Content-Type"), Location: res.Header.Get("Location"), Body: res.Body}
	if len(s.Body)+len(s.ContentType)+len(s.Location) > maxBodyBytes {
		return &Response{Status: res.Status, Long: true}
	}
	return s
}

// replay converts a stored response to a result. A body that was not stored is replaced
// by a refusal that states that the booking ran.
func replay(s *Response) *request.Result {
	res := &request.Result{Status: s.Status, Header: http.Header{}, Body: s.Body}
	if s.Long {
		res.Body, _ = json.Marshal(api.Refusal{
			Verdict: verdict.Ran, Reason: verdict.AlreadyRan, Detail: "the booking ran; its response is not kept",
		})
		res.Header.Set("Content-Type", "application/json")
		res.Header.Set(api.HeaderVerdict, string(verdict.Ran))
		return res
	}
	for k, v := range map[string]string{"Content-Type": s.ContentType, "Location": s.Location} {
		if v != "" {
			res.Header.Set(k, v)
		}
	}
	return res
}
