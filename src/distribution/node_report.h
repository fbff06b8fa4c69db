// What a control node tells people and tools about itself, as JSON.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "distribution/acceptor.h"
#include "distribution/publisher.h"
#include "distribution/receiver.h"
#include "net/address.h"

namespace marbledyke::distribution {

nlohmann::json report_of(const AcceptorState& state, const std::string& fleet);
nlohmann::json report_of(const Summary& summary);
nlohmann::json report_of(const std::map<std::string, ReceiverState>& receivers, Duration now);
// A follower of the peer at that address.
nlohmann::json report_of(const net::Address& peer, const Receiver& follower);

}  // namespace marbledyke::distribution
