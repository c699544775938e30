#include "consensus_driver.hpp"

namespace lagoonladder::control
{

namespace
{

constexpr duration reopen_interval = seconds(1);

/// Returns the message of a storage error, or no value if the task has succeeded. Throws other
/// exceptions.
std::optional<std::string> storage_failure(std::exception_ptr const& problem)
{
    if (!problem)
        return std::nullopt;
    try
    {
        std::rethrow_exception(problem);
    }
    catch (storage::storage_error const& failure)
    {
        return failure.what();
    }
}

} // namespace

consensus::persistent_state consensus_driver::load()
{
    auto state = this->log_store.load();
    this->restore_control_state(state);
    return state;
}

void consensus_driver::restore_control_state(consensus::persistent_state const& state)
{
    this->control_state = {};
    this->applied_index = 0;
    if (!state.snapshot || state.snapshot->data.empty())
        return;
    this->control_state.restore(state.snapshot->data);
    this->applied_index = state.snapshot->index.value();
}

void consensus_driver::suspend(std::string const& reason)
{
    this->usable = false;
    this->next_reopen = this->time.now() + reopen_interval;
    this->events.emit(severity::error, "storage.lost", {{"reason", reason}});
    this->fail_pending();
}

void consensus_driver::reopen()
{
    if (this->time.now() < this->next_reopen || this->log_worker.is_busy())
        return;
    this->next_reopen = this->time.now() + reopen_interval;
    auto const state = std::make_shared<consensus::persistent_state>();
    this->log_worker.run(
        [this, state]
        {
            *state = this->log_store.load();
            // A full disk can still be read; only a successful write shows that it has space again.
            this->log_store.save(state->hard_state, {}, true);
        },
        [this, state](std::exception_ptr const& problem)
        {
            if (!this->stopped)
                this->handle_reopened(*state, problem);
        });
}

void consensus_driver::handle_reopened(consensus::persistent_state const& state,
                                       std::exception_ptr const& problem)
{
    if (auto const failure = storage_failure(problem))
        return this->events.emit(severity::warning, "storage.still_lost", {{"reason", *failure}});
    this->restore_control_state(state);
    this->node = consensus::node(make_node_options(this->options, this->node.self()), state,
                                 this->random, this->time.now());
    this->usable = true;
    this->bytes_since_snapshot = 0;
    this->events.emit(severity::info, "storage.regained",
                      {{"last_index", std::to_string(this->node.last_index().value())}});
}

bool consensus_driver::process_ready()
{
    bool has_changed = false;
    try
    {
        while (!this->stopped && this->usable && !this->log_worker.is_busy() &&
               this->node.has_ready())
            has_changed = this->process(this->node.take_ready()) || has_changed;
    }
    catch (storage::storage_error const& problem)
    {
        this->suspend(problem.what());
    }
    if (this->usable && this->log_worker.is_busy() && this->applies_during_write)
        has_changed = this->apply(this->node.take_committed()) || has_changed;
    return has_changed;
}

bool consensus_driver::process(consensus::ready work)
{
    // With several voters, an entry is committed once a quorum has stored it, whether or not this
    // node has. The only voter may still have to store it.
    bool const applies_first = !work.restore && this->node.membership().voters.size() > 1;
    bool has_changed = false;
    if (applies_first)
        has_changed = this->apply(std::exchange(work.committed, {}));
    this->record_reads(work);
    if (work.must_sync)
    {
        this->applies_during_write = applies_first;
        this->write(std::make_shared<consensus::ready const>(std::move(work)));
        return has_changed;
    }
    this->log_store.save(work);
    return this->finish(work) || has_changed;
}

void consensus_driver::write(std::shared_ptr<consensus::ready const> const& work)
{
    this->log_worker.run([this, work] { this->log_store.save(*work); },
                         [this, work](std::exception_ptr const& problem)
                         {
                             if (!this->stopped)
                                 this->handle_written(*work, problem);
                         });
}

void consensus_driver::handle_written(consensus::ready const& work,
                                      std::exception_ptr const& problem)
{
    if (auto const failure = storage_failure(problem))
        return this->suspend(*failure);
    bool const has_changed = this->finish(work);
    this->handle_progress(this->process_ready() || has_changed);
}

bool consensus_driver::finish(consensus::ready const& work)
{
    for (auto const& message : work.messages)
        this->send(message);
    if (work.restore)
        this->restore(*work.restore);
    bool const has_applied = this->apply(work.committed);
    return work.restore || has_applied;
}

void consensus_driver::record_reads(consensus::ready const& work)
{
    for (auto const& confirmed_read : work.reads)
    {
        auto const pending = this->reads.find(confirmed_read.context);
        if (pending != this->reads.end())
            pending->second.index = confirmed_read.index.value();
    }
    for (auto const read_id : work.failed_reads)
        this->fail_read(read_id);
}

} // namespace lagoonladder::control
