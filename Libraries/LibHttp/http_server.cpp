#include "LibHttp/http_server.h"

#include "LibHttp/growing_task_queue.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <limits>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>

namespace azurehaven {

namespace {

/// The library fixes a backlog of 5, which drops bursts of connections.
constexpr int ListenBacklog = 1024;

class library_http_server : public http_server {
public:
  library_http_server(const http_server_limits &Limits, http_handler Handler)
      : Handler(std::move(Handler)) {
    Server.new_task_queue = [Limits]() -> httplib::TaskQueue * {
      return new growing_task_queue(Limits.Connections);
    };
    Server.set_tcp_nodelay(true);
    Server.set_payload_max_length(Limits.BodyBytes);
    Server.set_read_timeout(Limits.ReadTimeout);
    Server.set_write_timeout(Limits.WriteTimeout);
    Server.set_keep_alive_max_count(std::numeric_limits<int>::max());
    // The library counts whole seconds here.
    Server.set_keep_alive_timeout(Limits.KeepAlive.count() / 1000);
    Server.set_socket_options([this](socket_t Socket) {
      // Without SO_REUSEPORT a port in use is an error, not a silent sharing.
      int Enabled = 1;
      setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof Enabled);
      Listener = Socket;
    });
    auto Serve = [this](const httplib::Request &Request,
                        httplib::Response &Response) {
      serve(Request, Response);
    };
    Server.Get(".*", Serve).Post(".*", Serve).Put(".*", Serve);
    Server.Delete(".*", Serve).Patch(".*", Serve);
    Server.set_error_handler(
        [](const httplib::Request &, httplib::Response &Response) {
          describeLibraryError(Response);
        });
  }

  ~library_http_server() override { stop(); }

  bool start(const network_address &Address) {
    if (!Server.bind_to_port(Address.Host.c_str(), Address.Port))
      return false;
    ::listen(Listener, ListenBacklog);
    Acceptor = std::thread([this] { Server.listen_after_bind(); });
    while (!Server.is_running())
      std::this_thread::yield();
    return true;
  }

  void stop() override {
    if (!Acceptor.joinable())
      return;
    Server.stop();
    Acceptor.join();
  }

private:
  /// Answers that the library gives before any handler runs have no body.
  static void describeLibraryError(httplib::Response &Response) {
    if (!Response.body.empty())
      return;
    const char *Code =
        Response.status == 413 ? "body_too_large" : "bad_request";
    nlohmann::json Body = {
        {"error",
         {{"code", Code},
          {"run", "not_run"},
          {"message", "HTTP status " + std::to_string(Response.status)},
          {"retry_after_ms", nullptr}}}};
    Response.set_content(Body.dump(), "application/json");
  }

  void serve(const httplib::Request &Request, httplib::Response &Response) {
    served_request Served{Request.method, Request.path, {}, {}, Request.body};
    Served.Query.insert(Request.params.begin(), Request.params.end());
    Served.Headers.assign(Request.headers.begin(), Request.headers.end());
    served_response Answer = Handler(Served);
    Response.status = Answer.Status;
    for (const auto &[Name, Value] : Answer.Headers)
      Response.set_header(Name, Value);
    if (!Answer.Source) {
      Response.set_content(Answer.Body, Answer.ContentType);
      return;
    }
    std::shared_ptr<body_source> Source(std::move(Answer.Source));
    Response.set_chunked_content_provider(
        Answer.ContentType, [Source](std::size_t, httplib::DataSink &Sink) {
          if (auto Part = Source->next())
            return Part->empty() || Sink.write(Part->data(), Part->size());
          if (Source->isWhole())
            Sink.done();
          return Source->isWhole();
        });
  }

  http_handler Handler;
  httplib::Server Server;
  socket_t Listener = -1;
  std::thread Acceptor;
};

} // namespace

result<std::unique_ptr<http_server>>
http_server::listen(const network_address &Address,
                    const http_server_limits &Limits, http_handler Handler) {
  auto Server =
      std::make_unique<library_http_server>(Limits, std::move(Handler));
  if (!Server->start(Address))
    return error{error_code::Unavailable,
                 "cannot listen on " + Address.text() +
                     ": the address is in use or not of this VM"};
  return std::unique_ptr<http_server>(std::move(Server));
}

} // namespace azurehaven
