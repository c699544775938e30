#include <lagoonladder/version/control_state.hpp>

#include <algorithm>

#include "envelope.hpp"
#include "move_rules.hpp"
#include "shared_state_json.hpp"
#include "usage_json.hpp"

namespace lagoonladder::version
{

command_result control_state::apply(std::uint64_t entry_index, command const& entry)
{
    invariant(entry_index > this->index, "log entries are applied once and in order");
    this->index = entry_index;
    this->time = std::max(this->time, entry.now);
    this->shared_copy.reset();
    auto result = std::visit([&](auto const& body) { return this->apply_body(body); }, entry.body);
    this->current_state.applied_index = entry_index;
    return result;
}

std::uint64_t control_state::applied_index() const
{
    return this->index;
}

std::shared_ptr<shared_state const> control_state::shared() const
{
    if (!this->shared_copy)
        this->shared_copy = std::make_shared<shared_state const>(this->current_state);
    return this->shared_copy;
}

request::at_most_once_table const& control_state::once_records() const
{
    return this->once;
}

std::uint64_t control_state::next_order_sequence() const
{
    return this->order_sequence;
}

std::map<std::uint64_t, usage_window> const& control_state::usage_windows() const
{
    return this->closed_windows;
}

usage_ledger const& control_state::open_usage() const
{
    return this->ledger;
}

wall_time control_state::latest_time() const
{
    return this->time;
}

command_result control_state::apply_body(apply_configuration const& body)
{
    apply_result result;
    result.generation = this->current_state.generation;
    auto digest = sha256_hex(body.text);
    auto const earlier_operation = this->operations.find(body.operation);
    if (earlier_operation != this->operations.end())
    {
        if (earlier_operation->second.digest != digest)
        {
            result.detail =
                "operation id " + body.operation.value() + " was already used with another text";
            return result;
        }
        result.outcome = apply_outcome::repeated;
        result.generation = earlier_operation->second.generation;
        return result;
    }
    if (body.base < this->current_state.generation)
        return this->conflict_result(body.base);
    if (body.base > this->current_state.generation)
        result.detail = "base generation " + std::to_string(body.base.value()) +
                        " does not exist; the current one is " +
                        std::to_string(this->current_state.generation.value());
    else if (body.operation.value().empty())
        result.detail = "the operation id is empty";
    else
    {
        try
        {
            auto parsed = parse_configuration(body.file, body.text);
            result.detail = move_rules(this->current_state, this->time).find_problem(parsed);
            if (result.detail.empty())
                this->store(body, std::move(parsed), std::move(digest));
        }
        catch (configuration_error const& failure)
        {
            result.detail = failure.what();
        }
    }
    if (result.detail.empty())
        result.outcome = apply_outcome::stored;
    result.generation = this->current_state.generation;
    return result;
}

void control_state::store(apply_configuration const& body, configuration parsed, std::string digest)
{
    auto const new_generation = generation(this->current_state.generation.value() + 1);
    this->current_state.file = body.file;
    this->current_state.text = body.text;
    this->current_state.configuration_content = pack_configuration(body.file, body.text);
    move_rules(this->current_state, this->time).apply(std::move(parsed), new_generation);
    this->current_state.changed_index = this->index;
    this->operations.emplace(body.operation, stored_operation{new_generation, std::move(digest)});
    this->operations_by_generation.emplace(new_generation, body.operation);
    this->remove_old_operations();
}

void control_state::remove_old_operations()
{
    while (this->operations_by_generation.size() > max_operations)
    {
        this->operations.erase(this->operations_by_generation.begin()->second);
        this->operations_by_generation.erase(this->operations_by_generation.begin());
    }
}

apply_result control_state::conflict_result(generation base) const
{
    apply_result result;
    result.outcome = apply_outcome::conflict;
    result.generation = this->current_state.generation;
    // The operation that was stored on this base, or the oldest remembered one if that one has
    // been removed.
    auto const winner = this->operations_by_generation.upper_bound(base);
    invariant(winner != this->operations_by_generation.end(),
              "each generation was stored by an operation");
    result.winner_operation = winner->second;
    result.winner_digest = this->operations.at(winner->second).digest;
    result.detail = "generation " + std::to_string(winner->first.value()) +
                    " was already stored by operation " + winner->second.value() +
                    "; the current generation is " +
                    std::to_string(this->current_state.generation.value());
    return result;
}

command_result control_state::apply_body(update_move const& body)
{
    bool const applied = move_rules(this->current_state, this->time).update(body);
    if (applied)
        this->current_state.changed_index = this->index;
    return update_move_result{applied};
}

command_result control_state::apply_body(reserve_orders const& body)
{
    if (body.term < this->order_term)
        return reserve_orders_result{0};
    this->order_term = body.term;
    auto const first = this->order_sequence;
    this->order_sequence += body.count;
    return reserve_orders_result{first};
}

command_result control_state::apply_body(expire_records const&)
{
    this->once.expire(this->time);
    return no_result{};
}

command_result control_state::apply_body(request::at_most_once_begin const& body)
{
    return this->once.begin(this->time, body);
}

command_result control_state::apply_body(request::at_most_once_refuse const& body)
{
    return this->once.refuse(this->time, body);
}

command_result control_state::apply_body(request::at_most_once_finish const& body)
{
    return this->once.finish(this->time, body);
}

command_result control_state::apply_body(apply_service_map const& body)
{
    apply_map_result result;
    auto const& services = this->current_state.services;
    result.number = services ? services->map().number : 0;
    if (services && body.number <= result.number)
        return result;
    auto content = body.content;
    if (!content.has_bytes())
    {
        auto const uploaded = this->uploads.find(content.digest);
        if (!uploaded)
        {
            result.lacks_content = true;
            result.held_parts = this->uploads.held_offsets(content.digest);
            return result;
        }
        content = *uploaded;
        this->uploads.remove(content.digest);
    }
    result.problem = this->store(body.number, std::move(content));
    result.stored = result.problem.empty();
    if (result.stored)
        result.number = body.number;
    return result;
}

std::string control_state::store(std::uint64_t number, packed_content content)
{
    try
    {
        auto decoded = decode_service_configuration(unpack(content));
        if (decoded.map.number != number)
            return "the configuration in the content has the number " +
                   std::to_string(decoded.map.number);
        this->current_state.services =
            std::make_shared<service_index const>(std::move(decoded.map));
    }
    catch (parse_error const& failure)
    {
        return failure.what();
    }
    this->current_state.service_content = std::move(content);
    this->current_state.changed_index = this->index;
    return {};
}

command_result control_state::apply_body(store_content_part const& body)
{
    // Another daemon may send the same content, and its last parts may arrive when the content
    // is already in force.
    if (body.part.digest != this->current_state.service_content.digest)
        this->uploads.add(this->index, body.part);
    return no_result{};
}

command_result control_state::apply_body(read_pass_through_state const&)
{
    pass_through_state_result result;
    if (this->current_state.services)
        result.number = this->current_state.services->map().number;
    result.content = this->current_state.service_content.digest;
    result.moves = this->current_state.moves;
    return result;
}

command_result control_state::apply_body(start_service_move const& body)
{
    auto const& services = this->current_state.services;
    if (!services || services->find_service(body.service) == nullptr)
        return start_move_result{start_move_outcome::unknown_service};
    auto const outcome =
        move_rules(this->current_state, this->time).start_service_move(body, this->index);
    if (outcome == start_move_outcome::started || outcome == start_move_outcome::prolonged)
        this->current_state.changed_index = this->index;
    return start_move_result{outcome};
}

command_result control_state::apply_body(set_evacuation const& body)
{
    auto& records = this->current_state.evacuations;
    auto const outcome =
        set_evacuated(records, body.data_centre, body.is_evacuated, this->time, body.base);
    bool const is_changed = outcome == evacuation_outcome::changed;
    // Entries that do not know the number of a confirmed state could not give orders.
    if (is_changed || outcome == evacuation_outcome::confirmed)
        this->current_state.changed_index = this->index;
    return evacuation_result{is_changed, outcome == evacuation_outcome::outdated,
                             evacuation_number(records, body.data_centre)};
}

command_result control_state::apply_body(add_usage const& body)
{
    for (auto const& report : body.reports)
        this->ledger.add(report);
    auto const last = this->ledger.last_window().value_or(0);
    this->ledger.remove_before(last - std::min(last, max_open_windows));
    return no_result{};
}

command_result control_state::apply_body(close_usage_window const& body)
{
    auto const inserted = this->closed_windows.try_emplace(
        body.window, usage_window{this->ledger.totals(body.window), false});
    this->ledger.remove_before(body.window + 1);
    auto const result = usage_window_result{inserted.first->second};
    while (this->closed_windows.size() > max_usage_windows)
        this->closed_windows.erase(this->closed_windows.begin());
    return result;
}

command_result control_state::apply_body(confirm_usage_window const& body)
{
    auto const found = this->closed_windows.find(body.window);
    if (found != this->closed_windows.end())
        found->second.is_confirmed = true;
    return no_result{};
}

std::string control_state::snapshot() const
{
    return make_envelope(envelope_kind::snapshot, this->snapshot_json());
}

nlohmann::json control_state::snapshot_json() const
{
    auto stored_operations = nlohmann::json::array();
    for (auto const& [id, operation] : this->operations)
        stored_operations.push_back(
            {{"id", id}, {"generation", operation.generation}, {"digest", operation.digest}});
    auto windows = nlohmann::json::array();
    for (auto const& [number, window] : this->closed_windows)
        windows.push_back({{"number", number}, {"window", window}});
    return {{"index", this->index},
            {"time", this->time},
            {"order_term", this->order_term},
            {"order_sequence", this->order_sequence},
            {"shared", this->current_state},
            {"operations", std::move(stored_operations)},
            {"once", this->once.snapshot()},
            {"usage", std::move(windows)},
            {"open_usage", this->ledger.reports()},
            {"first_usage_window", this->ledger.first_kept()},
            {"uploads", this->uploads.snapshot()}};
}

void control_state::restore(std::string const& bytes)
{
    auto const in = open_envelope(envelope_kind::snapshot, bytes);
    control_state restored;
    convert_json_errors("a snapshot", [&] { restored.restore_json(in); });
    *this = std::move(restored);
}

void control_state::restore_json(nlohmann::json const& in)
{
    in.at("index").get_to(this->index);
    in.at("time").get_to(this->time);
    in.at("order_term").get_to(this->order_term);
    in.at("order_sequence").get_to(this->order_sequence);
    in.at("shared").get_to(this->current_state);
    for (auto const& item : in.at("operations"))
    {
        auto const id = item.at("id").get<operation_id>();
        stored_operation operation{item.at("generation").get<lagoonladder::generation>(),
                                   item.at("digest").get<std::string>()};
        this->operations_by_generation.emplace(operation.generation, id);
        this->operations.emplace(id, std::move(operation));
    }
    this->once.restore(in.at("once"));
    // Snapshots of earlier releases have no usage windows.
    if (!in.contains("usage"))
        return;
    // Snapshots of earlier releases have no first window.
    this->ledger.remove_before(in.value("first_usage_window", std::uint64_t{0}));
    for (auto const& report : in.at("open_usage").get<std::vector<usage_report>>())
        this->ledger.add(report);
    for (auto const& item : in.at("usage"))
        this->closed_windows.emplace(item.at("number").get<std::uint64_t>(),
                                     item.at("window").get<usage_window>());
    // Snapshots of earlier releases have no parts of contents.
    if (in.contains("uploads"))
        this->uploads.restore(in.at("uploads"));
}

} // namespace lagoonladder::version
