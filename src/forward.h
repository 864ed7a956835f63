#ifndef COMFREYPADDLE_FORWARD_H_
#define COMFREYPADDLE_FORWARD_H_

#include <string>

#include "http.h"

namespace comfreypaddle {

// Returns the bearer key of a request, or an empty string if there is none.
std::string BearerKey(const HttpRequest& request);

// Returns the header fields to forward to an endpoint. An allow list keeps a
// key in any other field from being forwarded.
HttpFields EndpointHeaders(const HttpRequest& request,
                           std::string_view request_id);

// Returns the path and query to send to an endpoint, without the parameters in
// which clients send keys.
std::string EndpointTarget(const HttpRequest& request);

// Returns the header fields of an endpoint's response to forward to the caller.
HttpFields CallerHeaders(const HttpFields& answer);

// Returns whether the text contains the secret. Returns false for an empty
// secret.
bool ContainsSecret(std::string_view text, std::string_view secret);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_FORWARD_H_
