#include "PostgresConnection.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <cstdlib>
#include <libpq-fe.h>
#include <utility>

namespace lentiljunction {

namespace {

    ResultSet readResult(const PGresult* result)
    {
        ResultSet set;
        int numColumns = PQnfields(result);
        for (int column = 0; column < numColumns; column++)
            set.columns.emplace_back(PQfname(result, column));
        for (int row = 0; row < PQntuples(result); row++) {
            std::vector<std::optional<std::string>> cells;
            for (int column = 0; column < numColumns; column++) {
                bool isNull = PQgetisnull(result, row, column) == 1;
                cells.push_back(isNull ? std::optional<std::string>() : std::string(PQgetvalue(result, row, column)));
            }
            set.rows.push_back(std::move(cells));
        }
        set.affectedRows = std::strtoull(PQcmdTuples(const_cast<PGresult*>(result)), nullptr, 10);
        return set;
    }

} // namespace

/// Shared, so that pending socket and timer handlers keep it alive.
class PostgresConnection::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(EventLoop& loop, Endpoint endpoint, PostgresIdentity identity)
        : loop(loop)
        , endpoint(std::move(endpoint))
        , identity(std::move(identity))
        , timer(loop.getContext())
    {
    }

    ~Implementation() { this->shutDown(); }

    void open(Duration timeout, OpenHandler handler)
    {
        this->openHandler = std::move(handler);
        const std::string port = std::to_string(this->endpoint.port);
        const char* const keywords[] = { "hostaddr", "port", "user", "dbname", "application_name", "sslmode", "gssencmode", "client_encoding", nullptr };
        const char* const values[] = { this->endpoint.host.c_str(), port.c_str(), this->identity.user.c_str(), this->identity.database.c_str(),
            this->identity.applicationName.c_str(), "disable", "disable", "UTF8", nullptr };
        this->connection = PQconnectStartParams(keywords, values, 0);
        this->startTimer(timeout);
        if (this->connection == nullptr || PQstatus(this->connection) == CONNECTION_BAD) {
            this->loop.post([self = this->shared_from_this()] { self->fail(false); });
            return;
        }
        PQsetnonblocking(this->connection, 1);
        this->attachSocket();
        this->waitForPoll(PGRES_POLLING_WRITING);
    }

    void execute(const std::string& sql, Duration timeout, ReplyHandler handler)
    {
        this->replyHandler = std::move(handler);
        this->reply = SqlReply();
        this->reply.status = SqlReply::Status::Completed;
        bool isSent = this->connection != nullptr && this->socket && PQsendQuery(this->connection, sql.c_str()) == 1;
        if (!isSent) {
            this->loop.post([self = this->shared_from_this()] { self->fail(false); });
            return;
        }
        this->startTimer(timeout);
        this->flush();
        this->waitForReply();
    }

    void shutDown()
    {
        this->timer.cancel();
        if (this->socket) {
            this->socket->release();
            this->socket.reset();
        }
        if (this->connection != nullptr)
            PQfinish(this->connection);
        this->connection = nullptr;
    }

    void fail(bool isSilent)
    {
        this->shutDown();
        OpenHandler open = std::exchange(this->openHandler, nullptr);
        ReplyHandler answer = std::exchange(this->replyHandler, nullptr);
        SqlReply lost;
        lost.isSilent = isSilent;
        if (open)
            open(false);
        if (answer)
            answer(lost);
    }

private:
    void startTimer(Duration timeout)
    {
        std::uint64_t generation = ++this->timerGeneration;
        this->timer.expires_after(timeout);
        this->timer.async_wait([self = this->shared_from_this(), generation](const asio::error_code& error) {
            if (!error && generation == self->timerGeneration)
                self->fail(true);
        });
    }

    void stopTimer()
    {
        this->timerGeneration++;
        this->timer.cancel();
    }

    /// Attaches the current socket of libpq, which may change while connecting.
    void attachSocket()
    {
        int descriptor = PQsocket(this->connection);
        if (this->socket && this->socket->native_handle() == descriptor)
            return;
        if (this->socket)
            this->socket->release();
        this->socket = std::make_unique<asio::posix::stream_descriptor>(this->loop.getContext(), descriptor);
    }

    void waitForPoll(PostgresPollingStatusType status)
    {
        asio::posix::stream_descriptor::wait_type direction = status == PGRES_POLLING_READING ? asio::posix::stream_descriptor::wait_read : asio::posix::stream_descriptor::wait_write;
        this->socket->async_wait(direction, [self = this->shared_from_this()](const asio::error_code& error) {
            if (!error && self->openHandler)
                self->poll();
        });
    }

    void poll()
    {
        PostgresPollingStatusType status = PQconnectPoll(this->connection);
        if (status == PGRES_POLLING_FAILED) {
            this->fail(false);
            return;
        }
        if (status != PGRES_POLLING_OK) {
            this->attachSocket();
            this->waitForPoll(status);
            return;
        }
        this->stopTimer();
        this->attachSocket();
        OpenHandler handler = std::exchange(this->openHandler, nullptr);
        handler(true);
    }

    void flush()
    {
        if (this->connection == nullptr || PQflush(this->connection) != 1)
            return;
        this->socket->async_wait(asio::posix::stream_descriptor::wait_write, [self = this->shared_from_this()](const asio::error_code& error) {
            if (!error && self->replyHandler)
                self->flush();
        });
    }

    void waitForReply()
    {
        this->socket->async_wait(asio::posix::stream_descriptor::wait_read, [self = this->shared_from_this()](const asio::error_code& error) {
            if (!error && self->replyHandler)
                self->readReply();
        });
    }

    void readReply()
    {
        if (PQconsumeInput(this->connection) == 0) {
            this->fail(false);
            return;
        }
        while (PQisBusy(this->connection) == 0) {
            PGresult* result = PQgetResult(this->connection);
            if (result == nullptr) {
                this->finishReply();
                return;
            }
            this->addResult(result);
            PQclear(result);
        }
        this->waitForReply();
    }

    void addResult(const PGresult* result)
    {
        ExecStatusType status = PQresultStatus(result);
        if (status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK || status == PGRES_EMPTY_QUERY) {
            this->reply.results.push_back(readResult(result));
            return;
        }
        const char* sqlState = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        const char* message = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
        this->reply.status = sqlState == nullptr ? SqlReply::Status::Lost : SqlReply::Status::Failed;
        this->reply.error = { sqlState == nullptr ? "" : sqlState, message == nullptr ? "" : message };
    }

    void finishReply()
    {
        if (this->reply.status == SqlReply::Status::Lost || PQstatus(this->connection) == CONNECTION_BAD) {
            this->fail(false);
            return;
        }
        this->stopTimer();
        ReplyHandler handler = std::exchange(this->replyHandler, nullptr);
        handler(this->reply);
    }

    EventLoop& loop;
    Endpoint endpoint;
    PostgresIdentity identity;
    asio::steady_timer timer;
    std::uint64_t timerGeneration = 0;
    PGconn* connection = nullptr;
    std::unique_ptr<asio::posix::stream_descriptor> socket;
    OpenHandler openHandler;
    ReplyHandler replyHandler;
    SqlReply reply;
};

PostgresConnection::PostgresConnection(EventLoop& loop, Endpoint endpoint, PostgresIdentity identity)
    : implementation(std::make_shared<Implementation>(loop, std::move(endpoint), std::move(identity)))
{
}

PostgresConnection::~PostgresConnection()
{
    this->implementation->shutDown();
}

void PostgresConnection::open(Duration timeout, OpenHandler handler)
{
    this->implementation->open(timeout, std::move(handler));
}

void PostgresConnection::execute(const std::string& sql, Duration timeout, ReplyHandler handler)
{
    this->implementation->execute(sql, timeout, std::move(handler));
}

void PostgresConnection::close()
{
    this->implementation->fail(false);
}

} // namespace lentiljunction
