package outcome

import "fmt"

// ErrorBody is the JSON body of an answer that is not completed.
type ErrorBody struct {
	RequestID string      `json:"request_id"`
	Outcome   Outcome     `json:"outcome"`
	Error     ErrorDetail `json:"error"`
}

// ErrorDetail is the JSON form of an error.
type ErrorDetail struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// RetryAfterMS is when the caller may return, in ms; 0 if that is not known.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// DetailOf returns the JSON form of an error, with its cause in the message.
func DetailOf(err error) ErrorDetail {
	e := From(err)
	message := e.Message
	if e.Cause != nil {
		message = fmt.Sprintf("%s: %v", message, e.Cause)
	}
	return ErrorDetail{Code: e.Code, Message: message, RetryAfterMS: e.RetryAfter.Milliseconds()}
}
