#pragma once

#include "Machines.h"
#include "Record.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// A commit that was acknowledged to a requester.
struct Acknowledged {
    std::string item;
    std::int64_t at = 0;
};

/// Requesters that write one after the other and note what was acknowledged.
class Writers {
public:
    Writers(Record& record, std::vector<std::uint16_t> ports)
        : record(record)
        , ports(std::move(ports))
    {
        for (std::size_t index = 0; index < this->ports.size(); index++)
            this->threads.emplace_back([this, index] { this->run(index); });
    }

    std::vector<Acknowledged> stop()
    {
        this->isStopping = true;
        for (std::thread& thread : this->threads)
            thread.join();
        return this->acknowledged;
    }

    std::size_t countAcknowledged()
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        return this->acknowledged.size();
    }

private:
    void run(std::size_t index)
    {
        constexpr Milliseconds pause { 25 };
        std::unique_ptr<Caller> caller;
        for (int number = 0; !this->isStopping; number++) {
            std::this_thread::sleep_for(pause);
            if (caller == nullptr)
                caller = std::make_unique<Caller>(this->ports[index], "confirm", Milliseconds(2000));
            std::string item = "w" + std::to_string(index) + "-" + std::to_string(number);
            std::string answer = caller->execute(item, "WRITE " + item + " x");
            this->record.write("caller: WRITE " + item + " -> " + (answer.empty() ? "no answer" : answer));
            if (isSigned(answer)) {
                std::lock_guard<std::mutex> lock(this->mutex);
                this->acknowledged.push_back({ item, this->record.getElapsed() });
            }
            if (!isComplete(answer))
                caller.reset();
        }
    }

    Record& record;
    std::vector<std::uint16_t> ports;
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::vector<Acknowledged> acknowledged;
    std::atomic<bool> isStopping { false };
};

} // namespace review
