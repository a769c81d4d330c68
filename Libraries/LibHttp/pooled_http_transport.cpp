#include "LibHttp/pooled_http_transport.h"

#include "LibHttp/validating_client.h"

#include <boost/coroutine2/coroutine.hpp>
#include <boost/coroutine2/protected_fixedsize_stack.hpp>

#include <algorithm>
#include <map>
#include <mutex>

namespace azurehaven {

namespace {

constexpr std::size_t IdleClientLimitPerAddress = 256;
/// Below the keep-alive timeout of the known servers, so that a server rarely
/// closes a pooled connection as it is reused.
constexpr std::chrono::seconds IdleClientLifetime{4};
constexpr std::size_t StreamStackBytes = 256 * 1024;

delivery deliveryOf(httplib::Error Error) {
  switch (Error) {
  case httplib::Error::Connection:
  case httplib::Error::ConnectionTimeout:
  case httplib::Error::BindIPAddress:
  case httplib::Error::SSLConnection:
    return delivery::NotSent;
  default:
    return delivery::MayHaveRun;
  }
}

http_failure failureOf(const validating_client &Client, httplib::Error Error) {
  if (Client.hasRejectedResponse())
    return {delivery::MayHaveRun, "malformed response",
            connection_loss::Rejected};
  return {deliveryOf(Error), httplib::to_string(Error)};
}

http_headers headersOf(const httplib::Headers &Headers) {
  return {Headers.begin(), Headers.end()};
}

httplib::Request toLibraryRequest(const http_request &Request) {
  httplib::Request Converted;
  Converted.method = Request.Method;
  Converted.path = Request.Path;
  Converted.body = Request.Body;
  for (const auto &[Name, Value] : Request.Headers)
    Converted.headers.emplace(Name, Value);
  return Converted;
}

} // namespace

class pooled_http_transport::client_pool {
public:
  std::unique_ptr<validating_client> acquire(const network_address &To,
                                             const http_timeouts &Timeouts,
                                             connection_use Use) {
    std::unique_ptr<validating_client> Client;
    if (Use == connection_use::Pooled)
      Client = takeIdle(To);
    if (!Client) {
      Client = std::make_unique<validating_client>(To);
      Client->set_tcp_nodelay(true);
      Client->set_keep_alive(true);
    }
    Client->set_connection_timeout(Timeouts.Connect);
    Client->set_read_timeout(Timeouts.Read);
    Client->set_write_timeout(Timeouts.Read);
    return Client;
  }

  void release(const network_address &To,
               std::unique_ptr<validating_client> Client) {
    std::lock_guard Lock(Mutex);
    auto &Idle = IdleClients[To];
    if (Idle.size() < IdleClientLimitPerAddress)
      Idle.push_back({std::move(Client), std::chrono::steady_clock::now()});
  }

private:
  struct idle_client {
    std::unique_ptr<validating_client> Client;
    steady_time Since;
  };

  std::unique_ptr<validating_client> takeIdle(const network_address &To) {
    // Declared before the lock, so that the expired clients are closed after it
    // is released.
    std::vector<idle_client> Expired;
    std::lock_guard Lock(Mutex);
    auto Found = IdleClients.find(To);
    if (Found == IdleClients.end())
      return nullptr;
    auto &Idle = Found->second;
    const auto OldestAllowed =
        std::chrono::steady_clock::now() - IdleClientLifetime;
    auto FirstFresh =
        std::find_if(Idle.begin(), Idle.end(), [&](const auto &Entry) {
          return Entry.Since >= OldestAllowed;
        });
    std::move(Idle.begin(), FirstFresh, std::back_inserter(Expired));
    Idle.erase(Idle.begin(), FirstFresh);
    if (Idle.empty())
      return nullptr;
    auto Client = std::move(Idle.back().Client);
    Idle.pop_back();
    return Client;
  }

  std::mutex Mutex;
  std::map<network_address, std::vector<idle_client>> IdleClients;
};

/// Runs the library's blocking call in a coroutine of the calling thread, so
/// that next() returns the chunks that its receiver callbacks get.
class pooled_http_transport::coroutine_stream : public http_stream {
  struct head {
    int Status;
    http_headers Headers;
  };
  struct finished {};
  using event = std::variant<head, std::string, http_failure, finished>;
  using channel = boost::coroutines2::coroutine<event>;

public:
  coroutine_stream(std::shared_ptr<client_pool> Pool, const network_address &To,
                   const http_request &Request, const http_timeouts &Timeouts)
      : Pool(std::move(Pool)), To(To),
        Client(this->Pool->acquire(To, Timeouts, connection_use::Pooled)),
        Request(toLibraryRequest(Request)),
        Source(boost::coroutines2::protected_fixedsize_stack(StreamStackBytes),
               [this](channel::push_type &Sink) { run(Sink); }) {}

  ~coroutine_stream() override {
    // Resumes the coroutine until the library's call has returned.
    IsCancelled = true;
    while (Source)
      Source();
    if (IsComplete)
      Pool->release(To, std::move(Client));
  }

  /// Takes the response head, or returns the failure that came instead.
  std::optional<http_failure> takeHead() {
    event First = Source.get();
    if (auto *Failure = std::get_if<http_failure>(&First))
      return *Failure;
    if (auto *Head = std::get_if<head>(&First)) {
      Status = Head->Status;
      Headers = std::move(Head->Headers);
      return std::nullopt;
    }
    return http_failure{delivery::MayHaveRun, "response without a head"};
  }

  int status() const override { return Status; }
  const http_headers &headers() const override { return Headers; }

  std::variant<std::optional<std::string>, http_failure> next() override {
    if (Source)
      Source();
    if (!Source)
      return std::optional<std::string>();
    event Event = Source.get();
    if (auto *Failure = std::get_if<http_failure>(&Event))
      return *Failure;
    if (auto *Chunk = std::get_if<std::string>(&Event))
      return std::optional<std::string>(std::move(*Chunk));
    IsComplete = true;
    return std::optional<std::string>();
  }

private:
  void run(channel::push_type &Sink) {
    Request.response_handler = [&](const httplib::Response &Response) {
      head Head{Response.status, headersOf(Response.headers)};
      Sink(std::move(Head));
      return !IsCancelled;
    };
    Request.content_receiver = [&](const char *Data, std::size_t Length,
                                   std::uint64_t, std::uint64_t) {
      if (IsCancelled)
        return false;
      Sink(std::string(Data, Length));
      return !IsCancelled;
    };
    httplib::Response Response;
    httplib::Error Error = httplib::Error::Success;
    const bool IsOk = Client->sendRequest(Request, Response, Error);
    if (IsCancelled)
      return;
    if (IsOk)
      Sink(finished{});
    else
      Sink(failureOf(*Client, Error));
  }

  std::shared_ptr<client_pool> Pool;
  network_address To;
  std::unique_ptr<validating_client> Client;
  httplib::Request Request;
  bool IsCancelled = false;
  bool IsComplete = false;
  int Status = 0;
  http_headers Headers;
  channel::pull_type Source;
};

pooled_http_transport::pooled_http_transport()
    : Pool(std::make_shared<client_pool>()) {}
pooled_http_transport::~pooled_http_transport() = default;

send_result pooled_http_transport::send(const network_address &To,
                                        const http_request &Request,
                                        const http_timeouts &Timeouts,
                                        connection_use Use) {
  auto Client = Pool->acquire(To, Timeouts, Use);
  httplib::Request Converted = toLibraryRequest(Request);
  httplib::Response Response;
  httplib::Error Error = httplib::Error::Success;
  if (!Client->sendRequest(Converted, Response, Error))
    return failureOf(*Client, Error);
  Pool->release(To, std::move(Client));
  return http_response{Response.status, headersOf(Response.headers),
                       std::move(Response.body)};
}

open_result pooled_http_transport::open(const network_address &To,
                                        const http_request &Request,
                                        const http_timeouts &Timeouts) {
  auto Stream = std::make_unique<coroutine_stream>(Pool, To, Request, Timeouts);
  if (auto Failure = Stream->takeHead())
    return *Failure;
  return std::unique_ptr<http_stream>(std::move(Stream));
}

} // namespace azurehaven
