#ifndef LAGOONLADDER_REQUEST_HPP
#define LAGOONLADDER_REQUEST_HPP

/// Public header of the request library: decisions that an entry makes for a single request.

#include <lagoonladder/request/accepted_request.hpp>
#include <lagoonladder/request/account_quota.hpp>
#include <lagoonladder/request/admission.hpp>
#include <lagoonladder/request/at_most_once_record.hpp>
#include <lagoonladder/request/call_shares.hpp>
#include <lagoonladder/request/cold_bound.hpp>
#include <lagoonladder/request/endpoint_pace.hpp>
#include <lagoonladder/request/endpoint_speed.hpp>
#include <lagoonladder/request/event_splitter.hpp>
#include <lagoonladder/request/fair_queue.hpp>
#include <lagoonladder/request/load_delay.hpp>
#include <lagoonladder/request/load_estimate.hpp>
#include <lagoonladder/request/overload_admission.hpp>
#include <lagoonladder/request/prefix_index.hpp>
#include <lagoonladder/request/prompt_backlog.hpp>
#include <lagoonladder/request/prompt_quarantine.hpp>
#include <lagoonladder/request/queue_trend.hpp>
#include <lagoonladder/request/queued_request.hpp>
#include <lagoonladder/request/quota_borrowing.hpp>
#include <lagoonladder/request/quota_holder_round.hpp>
#include <lagoonladder/request/retry_budget.hpp>
#include <lagoonladder/request/return_schedule.hpp>
#include <lagoonladder/request/route_choice.hpp>
#include <lagoonladder/request/service_rate.hpp>
#include <lagoonladder/request/start_pace.hpp>
#include <lagoonladder/request/stream_assembly.hpp>

#endif
