#include <lagoonladder/http/request_memory.hpp>

#include <map>
#include <mutex>
#include <vector>

#include "memory_ledger.hpp"

namespace lagoonladder::http
{

class request_memory::implementation
{
public:
    explicit implementation(std::uint64_t limit_bytes)
        : ledger(limit_bytes)
    {
    }

    bool resize(time_point now, memory_ledger::holding_id id, std::uint64_t bytes,
                memory_ledger::demand kind)
    {
        bool is_granted = false;
        std::vector<std::function<void()>> releases;
        {
            std::lock_guard const lock(this->mutex);
            auto const decision = this->ledger.resize(now, id, bytes, kind);
            is_granted = decision.is_granted;
            for (auto const released : decision.released)
            {
                auto node = this->release_functions.extract(released);
                releases.push_back(std::move(node.mapped()));
            }
        }
        // Called without the lock, since a release ends other holdings.
        for (auto const& release : releases)
            release();
        return is_granted;
    }

    std::mutex mutex;
    memory_ledger ledger;
    std::map<memory_ledger::holding_id, std::function<void()>> release_functions;
};

class request_memory::counted_holding : public request_memory::holding
{
public:
    counted_holding(std::shared_ptr<request_memory> owning_budget, memory_ledger::holding_id number)
        : budget(std::move(owning_budget))
        , id(number)
    {
    }

    ~counted_holding() override
    {
        // The function is destroyed without the lock, since it may own the last reference to a
        // connection.
        std::function<void()> release;
        std::lock_guard const lock(this->state().mutex);
        auto const found = this->state().release_functions.find(this->id);
        if (found != this->state().release_functions.end())
        {
            release.swap(found->second);
            this->state().release_functions.erase(found);
        }
        this->state().ledger.close(this->id);
    }

    counted_holding(counted_holding const&) = delete;
    counted_holding& operator=(counted_holding const&) = delete;

    bool resize(time_point now, std::uint64_t bytes) override
    {
        return this->state().resize(now, this->id, bytes, memory_ledger::demand::refusable);
    }

    void resize_used(time_point now, std::uint64_t bytes) override
    {
        this->state().resize(now, this->id, bytes, memory_ledger::demand::binding);
    }

    void record_progress(time_point now, std::uint64_t bytes) override
    {
        std::lock_guard const lock(this->state().mutex);
        this->state().ledger.record_progress(now, this->id, bytes);
    }

    bool pin() override
    {
        std::lock_guard const lock(this->state().mutex);
        return this->state().ledger.pin(this->id);
    }

private:
    implementation& state() { return *this->budget->state; }

    std::shared_ptr<request_memory> const budget;
    memory_ledger::holding_id const id;
};

request_memory::request_memory(std::uint64_t limit_bytes)
    : state(std::make_unique<implementation>(limit_bytes))
{
}

request_memory::~request_memory() = default;

std::unique_ptr<request_memory::holding> request_memory::open(time_point now,
                                                              std::function<void()> release)
{
    std::lock_guard const lock(this->state->mutex);
    auto const id = this->state->ledger.open(now);
    this->state->release_functions.emplace(id, std::move(release));
    return std::make_unique<counted_holding>(this->shared_from_this(), id);
}

std::uint64_t request_memory::used() const
{
    std::lock_guard const lock(this->state->mutex);
    return this->state->ledger.used();
}

} // namespace lagoonladder::http
