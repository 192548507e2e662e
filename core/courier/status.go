package courier

import "net/http"

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// IsFinalStatus reports whether a status code is one that ends an exchange (RFC 9110, section
// 15). A response with any other code, unless it is an interim one, is no answer.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}

// IsInterimStatus reports whether a status code announces a further response. A change of the
// protocol, which nobody asked for, is none.
func IsInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
