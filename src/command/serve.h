// Serving: reads what it is told, runs the gatherer's turns, heeds signals.
#pragma once

#include <functional>
#include <string>

#include "config/gatherer_config.h"
#include "gatherer/gatherer.h"
#include "search/terms.h"

namespace marbledyke::command {

// Adds the fronts and carriers that an operator's file asks for beside the platform's. Throws where it
// cannot.
using Extend = std::function<void(gatherer::Gatherer& gatherer, const search::Terms& terms,
                                  const config::GathererConfig& gatherer_config)>;

struct ServeOptions {
  std::string operator_file;  // empty: none
  std::string log_form;       // plain, json or empty: as the operator's file says
  Extend extend;              // none: this program has the platform's protocols only
};

// Until SIGTERM or SIGINT; gives the exit status.
int serve(const ServeOptions& options, const TimeSource& clock = system_time_source());

}  // namespace marbledyke::command
