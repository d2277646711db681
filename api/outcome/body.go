package outcome

import "fmt"

// ErrorBody is the JSON body of the answer to a request that did not complete.
type ErrorBody struct {
	RequestID string      `json:"request_id"`
	Outcome   Outcome     `json:"outcome"`
	Error     ErrorDetail `json:"error"`
}

// ErrorDetail is the JSON form of an error.
type ErrorDetail struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// RetryAfterMS is the delay before a useful retry, in ms; 0 if unknown.
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
