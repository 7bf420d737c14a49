#pragma once

#include "../../standins/database/DatabaseLog.h"

namespace lentiljunction::tests {

/// Data that is of no interest to a test, which looks at logs only.
class NullApplier : public standins::DatabaseLog::Applier {
public:
    void lockForApply() override { }
    void unlockAfterApply() override { }
    void apply(const standins::LogEntry&) override { }
    void rebuild(const std::vector<standins::LogEntry>&) override { }
};

} // namespace lentiljunction::tests
