#ifndef COMFREYPADDLE_INQUIRY_H_
#define COMFREYPADDLE_INQUIRY_H_

#include "controlstate.h"

namespace comfreypaddle {

// Answers a question of another instance through the callback. A question that
// waits for something new is answered later, by ServeInquiries.
void AnswerInquiry(ControlState& state, const schema::InstanceQuery& query,
                   const InquiryAnswer& respond);

// Answers the waiting questions for which there is something new or whose time
// has passed. Call it every tick.
void ServeInquiries(ControlState& state);

// Offset from which this instance knows a stream; zero: not at all.
std::uint64_t KnownOffset(const Follower& follower);

// Time since configuration and endpoints were last known to be the store's.
double StateAgeMs(const ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_INQUIRY_H_
