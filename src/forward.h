#ifndef COMFREYPADDLE_FORWARD_H_
#define COMFREYPADDLE_FORWARD_H_

#include <string>

#include "http.h"

namespace comfreypaddle {

// Returns the bearer key of a request, or an empty string if there is none.
std::string BearerKey(const HttpRequest& request);

// Returns the fields that may go on to an endpoint, by an allow list, so that
// a key in any other field stays here.
HttpFields EndpointHeaders(const HttpRequest& request,
                           std::string_view request_id);

// Returns the path and query for an endpoint, without the parameters in which
// clients put keys.
std::string EndpointTarget(const HttpRequest& request);

// Returns the fields of an endpoint's answer that go back to the caller.
HttpFields CallerHeaders(const HttpFields& answer);

// Returns whether the text contains the secret. An empty secret is contained
// nowhere.
bool ContainsSecret(std::string_view text, std::string_view secret);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_FORWARD_H_
