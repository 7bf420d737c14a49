#pragma once

#include "../../standins/database/DatabaseLog.h"

namespace lentiljunction::tests {

/// Ignores all log entries, for tests that check only the log.
class NullApplier : public standins::DatabaseLog::Applier {
public:
    void lockForApply() override { }
    void unlockAfterApply() override { }
    void apply(const standins::LogEntry&) override { }
    void rebuild(const std::vector<standins::LogEntry>&) override { }
};

} // namespace lentiljunction::tests
